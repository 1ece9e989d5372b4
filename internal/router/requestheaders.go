package router

import (
	"net/http"
	"strconv"
)

const (
	maxKeyBytes            = 256
	maxIdempotencyKeyBytes = 128
	maxRequestIDBytes      = 64
)

func clientOf(r *http.Request, l Listener) (string, error) {
	if !l.TrustClientHeader {
		return l.Client, nil
	}
	values := r.Header.Values(headerClient)
	if len(values) != 1 || !isVisibleASCII(values[0], maxKeyBytes) {
		return "", badRequest(headerClient + " must occur once, with 1 to 256 visible ASCII bytes")
	}
	return values[0], nil
}

// singleHeader returns the value of an optional header that must not occur twice.
func singleHeader(h http.Header, name string, limit int) (string, error) {
	values := h.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || !isVisibleASCII(values[0], limit) {
		return "", badRequest(name + " must occur once, with 1 to " + strconv.Itoa(limit) + " visible ASCII bytes")
	}
	return values[0], nil
}

// positiveIntHeader returns the value of an optional header, 0 if it is absent.
func positiveIntHeader(h http.Header, name string) (int64, error) {
	values := h.Values(name)
	if len(values) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	if len(values) > 1 || err != nil || n <= 0 {
		return 0, badRequest(name + " must occur once, as a positive integer")
	}
	return n, nil
}

func isVisibleASCII(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
