// Package processtest tests an installation of separate processes under load
// while processes are killed, paused and stopped and the store fails. Task
// starts are verified against the journals that the stand-ins of the backend
// servers write, independently of the dispatcher.
package processtest
