package entry

import (
	"bytes"
	"compress/zlib"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership/mirror"
	"github.com/mangopost/mangopost/placement/hotrange"
)

const (
	// reportEvery is how often a host tells the coordinator what it runs and which
	// keys were asked for.
	reportEvery = 400 * time.Millisecond
	// reportTimeout is for one report.
	reportTimeout = 500 * time.Millisecond
	// reportKeep is how long a host's last report counts.
	reportKeep = 3 * reportEvery
	// loadWindow smooths the loads of keys.
	loadWindow = 1.5 // seconds
	// guessedService is the time of a request at a target of which no host has
	// learned it yet.
	guessedService = 0.15 // seconds
	maxReport      = 8 << 20
	reportPath     = "POST /report"
)

// serviceReport is what a host tells of one service.
type serviceReport struct {
	Keys    map[int]int        `json:"keys,omitempty"`    // requests by key since the last report
	Running map[string]int     `json:"running,omitempty"` // by target
	Seconds map[string]float64 `json:"seconds,omitempty"` // time of a request, by target
}

type report struct {
	Host      string                   `json:"host"`
	Services  map[string]serviceReport `json:"services"`
	Revisions map[string]uint64        `json:"revisions"` // of the feeds, by prefix
}

// reply tells a host what all others run at each target, and what it does not
// know of the store's objects.
type reply struct {
	Hosts  int                           `json:"hosts"`
	Others map[string]map[string]float64 `json:"others"`          // by service and target
	Feeds  map[string]relay              `json:"feeds,omitempty"` // by prefix
}

// relay is what changed in a feed.
type relay struct {
	AgeMS   int64          `json:"age_ms"` // since the store answered the coordinator
	Changes mirror.Changes `json:"changes"`
}

// loadTable is what the coordinator was told.
type loadTable struct {
	mu       sync.Mutex
	reports  map[string]hostReport // by host
	loads    map[string]*hotrange.Loads
	decayed  time.Duration
	measured map[string]map[string]float64 // seconds, by service and target
}

type hostReport struct {
	at time.Duration
	report
}

func newLoadTable() *loadTable {
	return &loadTable{
		reports:  make(map[string]hostReport),
		loads:    make(map[string]*hotrange.Loads),
		measured: make(map[string]map[string]float64),
	}
}

// of returns the loads of a service. The coordinator's term alone reads them.
func (l *loadTable) of(service string) *hotrange.Loads {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay()
	copied := *l.loadsOf(service)
	return &copied
}

func (l *loadTable) loadsOf(service string) *hotrange.Loads {
	loads := l.loads[service]
	if loads == nil {
		loads = &hotrange.Loads{}
		l.loads[service] = loads
	}
	return loads
}

func (l *loadTable) decay() {
	now := steady()
	for _, loads := range l.loads {
		loads.Decay((now - l.decayed).Seconds(), loadWindow)
	}
	l.decayed = now
}

// measuredSmoothing is the weight of one host's report in the time of a request.
const measuredSmoothing = 0.1

// capacity returns the requests a second that a target gets through.
func (l *loadTable) capacity(service, target string, slots int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds, ok := l.measured[service][target]
	if !ok || seconds <= 0 {
		seconds = l.mean(service)
	}
	return float64(slots) / seconds
}

func (l *loadTable) mean(service string) float64 {
	sum, count := 0.0, 0
	for _, s := range l.measured[service] {
		sum += s
		count++
	}
	if count == 0 {
		return guessedService
	}
	return sum / float64(count)
}

// take takes a host's report in and returns what to tell it.
func (l *loadTable) take(r report) reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := steady()
	l.decay()
	l.reports[r.Host] = hostReport{at: now, report: r}
	for name, s := range r.Services {
		l.takeService(name, s)
	}
	out := reply{Others: make(map[string]map[string]float64)}
	for host, h := range l.reports {
		if now-h.at > reportKeep {
			delete(l.reports, host)
			continue
		}
		out.Hosts++
		if host != r.Host {
			addRunning(out.Others, h.report)
		}
	}
	return out
}

func (l *loadTable) takeService(name string, s serviceReport) {
	if len(s.Keys) > 0 {
		loads := l.loadsOf(name)
		for key, count := range s.Keys {
			loads.Add(key, float64(count), loadWindow)
		}
	}
	measured := l.measured[name]
	if measured == nil {
		measured = make(map[string]float64)
		l.measured[name] = measured
	}
	for target, seconds := range s.Seconds {
		if old, ok := measured[target]; ok {
			seconds = old + measuredSmoothing*(seconds-old)
		}
		measured[target] = seconds
	}
}

func addRunning(sums map[string]map[string]float64, r report) {
	for name, s := range r.Services {
		if sums[name] == nil {
			sums[name] = make(map[string]float64)
		}
		for target, count := range s.Running {
			sums[name][target] += float64(count)
		}
	}
}

// report tells the coordinator of this host's work until ctx ends.
func (n *Node) report(ctx context.Context) error {
	client := &http.Client{Timeout: reportTimeout, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: reportTimeout}).DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
	failing := false
	for sleep(ctx, reportEvery) {
		holder := n.office.holder()
		if holder.Addr == "" {
			continue
		}
		r := n.makeReport()
		answer, err := n.sendReport(ctx, client, holder.Addr, r)
		if err != nil {
			if !failing {
				n.log.Emit(evReportFailed, "coordinator", holder.Holder, "error", err.Error())
			}
			failing = true
			client.CloseIdleConnections()
			n.setOthers(reply{})
			continue
		}
		failing = false
		n.setOthers(answer)
		n.takeRelays(answer.Feeds)
	}
	return nil
}

func (n *Node) makeReport() report {
	r := report{
		Host: n.settings.Load().Host, Services: make(map[string]serviceReport), Revisions: make(map[string]uint64),
	}
	for _, f := range n.feeds {
		r.Revisions[f.prefix] = f.revision()
	}
	for name, s := range n.allServices() {
		var out serviceReport
		s.change(func(p *pool.Pool) { out.Running = p.Running() })
		if s.keyed {
			out.Keys = s.takeArrivals()
			out.Seconds = s.takeSpeeds()
		}
		if len(out.Running)+len(out.Keys) > 0 {
			r.Services[name] = out
		}
	}
	return r
}

func (n *Node) allServices() map[string]*service {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]*service, len(n.services))
	for name, s := range n.services {
		out[name] = s
	}
	return out
}

func (n *Node) sendReport(ctx context.Context, client *http.Client, addr string, r report) (reply, error) {
	if n.office.holds() {
		return n.office.loads.take(r), nil
	}
	var out reply
	body, err := pack(r)
	if err != nil {
		return out, errors.Wrap(err, "report")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/report", bytes.NewReader(body))
	if err != nil {
		return out, errors.Wrap(err, "report")
	}
	req.Header.Set("User-Agent", "") // spares its bytes
	resp, err := client.Do(req)
	if err != nil {
		return out, errors.Wrap(err, "report")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, errors.Newf("report: status %d", resp.StatusCode)
	}
	return out, errors.Wrap(unpack(resp.Body, &out), "report's answer")
}

// pack encodes a message between hosts. It is compressed, as bytes between
// regions are dear and names repeat.
func pack(message any) ([]byte, error) {
	var buf bytes.Buffer
	w := compressors.Get().(*zlib.Writer)
	defer compressors.Put(w)
	w.Reset(&buf)
	err := json.NewEncoder(w).Encode(message)
	err = errors.CombineErrors(err, w.Close())
	return buf.Bytes(), errors.Wrap(err, "pack")
}

// compressors are kept, as a new one takes most of a megabyte.
var compressors = sync.Pool{New: func() any { return zlib.NewWriter(nil) }}

func unpack(from io.Reader, message any) error {
	r, err := zlib.NewReader(from)
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(r, maxReport)).Decode(message), "unpack")
}

// setOthers takes in what all other hosts run. Without hosts, nothing is known.
func (n *Node) setOthers(r reply) {
	if r.Hosts > 0 && n.hosts.Swap(int64(r.Hosts)) != int64(r.Hosts) {
		n.mu.Lock()
		n.targetsChanged()
		n.mu.Unlock()
	}
	for name, s := range n.allServices() {
		s.change(func(p *pool.Pool) { p.SetOthers(r.Others[name]) })
	}
}

// revision returns the store's revision that a host knows of a feed; 0: none.
func (f *feed) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed {
		return 0
	}
	return f.mirror.Revision()
}

// relays returns what a host with these revisions does not know.
func (n *Node) relays(revisions map[string]uint64) map[string]relay {
	out := make(map[string]relay)
	for _, f := range n.feeds {
		f.mu.Lock()
		if f.listed {
			out[f.prefix] = relay{AgeMS: ms(steady() - f.answered), Changes: f.mirror.Since(revisions[f.prefix])}
		}
		f.mu.Unlock()
	}
	return out
}

// takeRelays brings in force what the coordinator relayed.
func (n *Node) takeRelays(relays map[string]relay) {
	for _, f := range n.feeds {
		r, ok := relays[f.prefix]
		if !ok {
			continue
		}
		batch := platform.Batch{Revision: r.Changes.Revision}
		for _, o := range r.Changes.Objects {
			batch.Objects = append(batch.Objects, platform.Object(o))
		}
		f.take(batch, r.Changes.Full, time.Duration(r.AgeMS)*time.Millisecond)
		f.mu.Lock()
		f.relayed = steady()
		f.mu.Unlock()
	}
}

// servePeers takes the reports of other hosts.
func (n *Node) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(reportPath, func(w http.ResponseWriter, r *http.Request) {
		if !n.office.holds() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var in report
		if err := unpack(r.Body, &in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		out := n.office.loads.take(in)
		out.Feeds = n.relays(in.Revisions)
		body, err := pack(out)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header()["Date"] = nil
		w.Header().Set("Content-Type", "application/zlib")
		_, _ = w.Write(body) // the host that reports again if this fails
	})
	return n.serve(ctx, n.settings.Load().Peers.String(), mux)
}
