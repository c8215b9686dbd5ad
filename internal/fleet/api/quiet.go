package api

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// quiet takes the HTTP server's own lines: refused handshakes are told of with their reason elsewhere.
func debugLogger(l zerolog.Logger) *log.Logger { return log.New(logWriter{l}, "", 0) }

type logWriter struct{ log zerolog.Logger }

func (l logWriter) Write(p []byte) (int, error) {
	l.log.Debug().Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}
