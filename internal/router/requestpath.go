package router

import (
	"net/http"
	"strings"
)

const maxPathBytes = 4096

// splitPath returns the service, which is the first segment of the path, and the rest
// of the path: decoded, for matching routes, and escaped, for sending to the target.
func splitPath(r *http.Request) (service, path, escapedPath string, err error) {
	escaped := r.URL.EscapedPath()
	if len(escaped) > maxPathBytes {
		return "", "", "", badRequest("path is longer than 4096 bytes")
	}
	if !isUnambiguousPath(r.URL.Path) {
		return "", "", "", badRequest("path contains an empty segment, a dot segment or a control character")
	}
	service, escapedPath, _ = strings.Cut(strings.TrimPrefix(escaped, "/"), "/")
	_, path, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return service, "/" + path, "/" + escapedPath, nil
}

// isUnambiguousPath reports whether every server interprets a decoded path alike: the
// route that is matched here and the resource at the target must not differ.
func isUnambiguousPath(path string) bool {
	for i := range len(path) {
		if path[i] < ' ' || path[i] == 0x7f {
			return false
		}
	}
	inner := strings.TrimSuffix(strings.TrimPrefix(path, "/"), "/")
	for segment := range strings.SplitSeq(inner, "/") {
		if segment == "." || segment == ".." || segment == "" && inner != "" {
			return false
		}
	}
	return true
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}
