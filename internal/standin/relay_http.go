package standin

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrNoLink is returned when the process has no link with the given name.
var ErrNoLink = errors.New("no such link")

// Relay manages the links of one process.
type Relay struct {
	links  []*Link
	events EventSink
}

// NewRelay returns a relay that manages the given links.
func NewRelay(links ...*Link) *Relay { return &Relay{links: links, events: discardEvents{}} }

// SetEventSink sends the events of all links to sink.
func (r *Relay) SetEventSink(sink EventSink) { r.events = sink }

// SetFaults replaces the faults of the named link, or of all links when name is
// empty.
func (r *Relay) SetFaults(name string, faults LinkFaults) error {
	var errs []error
	found := name == ""
	for _, l := range r.links {
		if name == "" || l.name == name {
			found = true
			errs = append(errs, l.SetFaults(faults))
		}
	}
	r.events.Emit(eventLinkFaults, "link", name, "faults", faults)
	if !found {
		return errors.Wrap(ErrNoLink, name)
	}
	return errors.Join(errs...)
}

// Close ends every link.
func (r *Relay) Close() {
	for _, l := range r.links {
		l.Close()
	}
}

// Handler serves the relay's admin calls.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/links", r.serveFaults)
	return mux
}

func (r *Relay) serveFaults(w http.ResponseWriter, req *http.Request) {
	body, ok := readAdminBody(w, req)
	if !ok {
		return
	}
	change, err := DecodeLinkFaults(body)
	if err == nil {
		err = r.SetFaults(change.Link, change.Faults)
	}
	writeAdminResult(w, err)
}
