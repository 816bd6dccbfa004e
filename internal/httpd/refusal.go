package httpd

import (
	"fmt"
	"net/http"
)

// Refusal is an error response that the Server sends without calling the handler.
type Refusal struct {
	Status  int
	Reason  Reason
	Message string
}

// Reason is the kind of a Refusal.
type Reason string

// Reasons for refusals.
const (
	Malformed      Reason = "malformed"
	BodyTooLarge   Reason = "body-too-large"
	HeaderTooLarge Reason = "header-too-large"
	TooSlow        Reason = "too-slow"
	Overloaded     Reason = "overloaded"
)

// RefusalEncoder encodes the body of a refusal and returns its content type.
type RefusalEncoder func(r Refusal) (contentType string, body []byte)

// EncodePlainText is a RefusalEncoder that returns one line of text.
func EncodePlainText(r Refusal) (contentType string, body []byte) {
	return "text/plain; charset=utf-8", []byte(string(r.Reason) + ": " + r.Message + "\n")
}

// response encodes a refusal as a complete HTTP response.
func (s *Server) response(r Refusal) []byte {
	contentType, body := s.encodeRefusal(r)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		r.Status, http.StatusText(r.Status), contentType, len(body))
	return append([]byte(head), body...)
}
