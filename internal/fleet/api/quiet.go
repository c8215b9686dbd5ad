package api

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// quiet takes the HTTP server's own lines: refused handshakes are told of with their reason elsewhere.
func quiet(l zerolog.Logger) *log.Logger { return log.New(lines{l}, "", 0) }

type lines struct{ log zerolog.Logger }

func (l lines) Write(p []byte) (int, error) {
	l.log.Debug().Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}
