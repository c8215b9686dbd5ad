package api

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// debugLogger returns a logger that writes the HTTP server's log lines at debug level. Most of them are refused TLS
// handshakes, which the server also logs as warnings with their reason.
func debugLogger(l zerolog.Logger) *log.Logger { return log.New(logWriter{l}, "", 0) }

// logWriter writes each line as a separate log message.
type logWriter struct{ log zerolog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Debug().Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}
