// Package backend is the HTTP interface between a sidecar and its backend
// server: it receives the server's announcements and runs tasks on it.
//
// The announce listener uses nbhttp. The task client uses net/http, because
// the nbhttp client (nbio v1.6.8) cannot determine safely how a task ended: its
// connections report buffered bytes as written, so a failed request may or may
// not have reached the server, and it treats a response without a length as
// complete and empty, so a truncated or HTTP/1.0 response would pass for the
// result of a task. It also treats an interim response as the final one.
//
// A minimal use of both parts:
//
//	client := backend.NewClient(backend.ClientConfig{Clock: clock.NewSystem()})
//	listener, err := backend.Listen(backend.ListenerConfig{
//		Address: "127.0.0.1:7070",
//		OnState: func(s backend.State) { client.SetServer(s) },
//	})
package backend
