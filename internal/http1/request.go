// Package http1 writes GET requests and parses their responses in HTTP/1.1 (and HTTP/1.0), with Content-Length, chunked
// bodies and bodies that last until the connection ends. It does no I/O.
package http1

// GetRequest returns a request for a path on a connection that is kept open.
func GetRequest(host, path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n"
}
