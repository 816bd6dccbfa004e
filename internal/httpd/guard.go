package httpd

import (
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// guard is a filter between nbhttp's parser and its processor. It checks headers
// while they arrive and does not pass refused requests to the handler.
type guard struct {
	nbhttp.Processor

	conn    *connection
	refusal *Refusal
	// expectsContinue is set when the client waits for 100 Continue.
	expectsContinue bool

	headerBytes         int
	contentLengths      int
	hasTransferEncoding bool
}

var errRefused = errors.New("the request is refused")

func (g *guard) refuse(status int, reason Reason, message string) {
	if g.refusal == nil {
		g.refusal = &Refusal{Status: status, Reason: reason, Message: message}
	}
}

// OnURL implements nbhttp.Processor.
func (g *guard) OnURL(p *nbhttp.Parser, uri string) error {
	g.countHeader(len(uri))
	return g.Processor.OnURL(p, uri)
}

// OnHeader implements nbhttp.Processor. Requests with an ambiguous body length
// are refused, because a load balancer may interpret the length differently
// (request smuggling).
func (g *guard) OnHeader(p *nbhttp.Parser, key, value string) {
	const separators = len(": \r\n")
	g.countHeader(len(key) + len(value) + separators)
	switch {
	case strings.EqualFold(key, "Content-Length"):
		g.contentLengths++
	case strings.EqualFold(key, "Transfer-Encoding"):
		g.hasTransferEncoding = true
	case strings.EqualFold(key, "Expect"):
		g.expectsContinue = strings.EqualFold(value, "100-continue")
	}
	if g.contentLengths > 1 || g.contentLengths > 0 && g.hasTransferEncoding {
		g.refuse(http.StatusBadRequest, Malformed, "the length of the body is ambiguous")
	}
	if g.refusal == nil {
		g.Processor.OnHeader(p, key, value)
	}
}

func (g *guard) countHeader(n int) {
	g.headerBytes += n
	if g.headerBytes > g.conn.srv.limits.MaxHeader {
		g.refuse(http.StatusRequestHeaderFieldsTooLarge, HeaderTooLarge, "the header is too large")
	}
}

// OnContentLength implements nbhttp.Processor.
func (g *guard) OnContentLength(p *nbhttp.Parser, n int) {
	if n > g.conn.srv.limits.MaxBody {
		g.refuse(http.StatusRequestEntityTooLarge, BodyTooLarge, "the body is too large")
	}
	g.Processor.OnContentLength(p, n)
}

// OnBody implements nbhttp.Processor.
func (g *guard) OnBody(p *nbhttp.Parser, data []byte) error {
	if g.refusal != nil {
		return errRefused
	}
	return g.Processor.OnBody(p, data)
}

// OnComplete implements nbhttp.Processor.
func (g *guard) OnComplete(p *nbhttp.Parser) {
	if g.refusal == nil && !g.conn.beginRequest() {
		g.refuse(http.StatusServiceUnavailable, Overloaded, "too many requests wait on this connection")
	}
	if g.refusal != nil {
		return
	}
	g.headerBytes, g.contentLengths, g.hasTransferEncoding, g.expectsContinue = 0, 0, false, false
	g.Processor.OnComplete(p)
}
