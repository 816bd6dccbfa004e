package httpd

import (
	"fmt"
	"net/http"
)

// Refusal is an answer that the Server gives without calling the handler.
type Refusal struct {
	Status  int
	Reason  Reason
	Message string
}

// Reason classifies refusals.
type Reason string

// Reasons for refusals.
const (
	Malformed      Reason = "malformed"
	BodyTooLarge   Reason = "body-too-large"
	HeaderTooLarge Reason = "header-too-large"
	TooSlow        Reason = "too-slow"
	Overloaded     Reason = "overloaded"
)

// RefusalEncoder encodes a refusal; contentType is that of the result.
type RefusalEncoder func(r Refusal) (contentType string, body []byte)

// EncodePlainText encodes a refusal as one line of text.
func EncodePlainText(r Refusal) (contentType string, body []byte) {
	return "text/plain; charset=utf-8", []byte(string(r.Reason) + ": " + r.Message + "\n")
}

// response encodes a refusal as a whole HTTP response.
func (s *Server) response(r Refusal) []byte {
	contentType, body := s.body(r)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		r.Status, http.StatusText(r.Status), contentType, len(body))
	return append([]byte(head), body...)
}
