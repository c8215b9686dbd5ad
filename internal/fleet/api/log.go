package api

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// debugLogger takes the lines of the HTTP server, at the level of debug: refused handshakes, which are most of them, are
// logged with their reason by NewServer.
func debugLogger(l zerolog.Logger) *log.Logger { return log.New(logWriter{l}, "", 0) }

// logWriter writes each line as a message of its own.
type logWriter struct{ log zerolog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Debug().Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}
