// Package http1 formats HTTP/1.1 GET requests and parses the responses, in HTTP/1.1 or HTTP/1.0: bodies with a
// Content-Length, chunked bodies, and bodies that end with the connection. It does no I/O.
package http1

// GetRequest returns a GET request for a path. It asks the server to keep the connection open, as HTTP/1.1 does by
// default.
func GetRequest(host, path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n"
}
