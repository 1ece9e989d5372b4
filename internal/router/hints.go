package router

import (
	"sync"
	"time"
)

// silentRedirects is the number of consecutive redirects, without an answer from a
// target's gateways, after which the ingress also asks the agreed next owner.
const silentRedirects = 8

// silentDuration is how long the ingress alternates between the owner and the agreed
// next owner before it asks only the owner again.
const silentDuration = 2 * time.Second

// hints stores what the ingress learned about gateways from their answers. Hints only
// save tries; a wrong hint costs one redirect.
type hints struct {
	mu              sync.Mutex
	candidateIndex  map[string]int // index of the candidate to ask, by target; may exceed the list's length
	redirects       map[string]int // consecutive redirects, by target
	silentSince     map[string]time.Time
	successorChecks map[string]int     // calls of shouldAskSuccessor while silent, by target
	cuts            map[string]linkCut // by target
}

// linkCut records that a target's gateway was reached only through a relay host.
type linkCut struct {
	host       string
	recordedAt time.Time
}

func newHints() *hints {
	return &hints{
		candidateIndex:  make(map[string]int),
		redirects:       make(map[string]int),
		silentSince:     make(map[string]time.Time),
		successorChecks: make(map[string]int),
		cuts:            make(map[string]linkCut),
	}
}

// nextCandidate returns which of a target's n gateway candidates to ask, as an index.
func (h *hints) nextCandidate(target string, n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.candidateIndex[target] % n
}

// recordServed records that a candidate answered for a target.
func (h *hints) recordServed(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.redirects[target] != 0 {
		delete(h.redirects, target)
		delete(h.silentSince, target)
		delete(h.successorChecks, target)
	}
}

// recordRedirect records that a candidate does not serve the target, so that the next
// one is asked.
func (h *hints) recordRedirect(target string, candidate int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.candidateIndex[target] = candidate + 1
	h.redirects[target]++
	if h.redirects[target]%silentRedirects == 0 {
		h.silentSince[target] = time.Now()
	}
}

// shouldAskSuccessor reports whether the agreed next owner should be asked instead of
// the silent owner. Every other call returns false, so that the owner is also asked.
func (h *hints) shouldAskSuccessor(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, ok := h.silentSince[target]
	if !ok || time.Since(since) > silentDuration {
		return false
	}
	h.successorChecks[target]++
	return h.successorChecks[target]%2 == 1
}

// isSilent reports whether a target's gateways have not answered recently.
func (h *hints) isSilent(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, ok := h.silentSince[target]
	return ok && time.Since(since) <= silentDuration
}
