package h1

import "strconv"

var phrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 413: "Content Too Large", 417: "Expectation Failed", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// AppendResponse appends a response with a length.
func AppendResponse(b []byte, status int, h Header, body []byte, end bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), phrases[status]...), "\r\n"...)
	if len(body) > 0 {
		b = append(b, "Content-Type: application/json\r\n"...)
	}
	b = appendFields(b, h)
	if end {
		b = append(b, "Connection: close\r\n"...)
	}
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// Continue is the word that a client which expects it waits for.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// AppendGet appends a request without a body.
func AppendGet(b []byte, target, host string) []byte {
	b = append(append(append(b, "GET "...), target...), " HTTP/1.1\r\n"...)
	return append(appendFields(b, Header{{"Host", host}, {"Accept", "application/json"}}), "\r\n"...)
}

func appendFields(b []byte, h Header) []byte {
	for _, f := range h {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return b
}

// FirstSegment cuts the first part of a target's path: "/a/b?c" gives "a".
func FirstSegment(target string) string {
	path := target[1:]
	for i := range len(path) {
		if path[i] == '/' || path[i] == '?' || path[i] == '#' {
			return path[:i]
		}
	}
	return path
}
