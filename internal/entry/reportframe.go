package entry

import (
	"bytes"
	"compress/zlib"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/membership/mirror"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/demand"
)

// encodeReport encodes a report together with the store revisions of this host's
// feeds.
func (n *Node) encodeReport(r demand.Report) *pb.Frame {
	s := n.settings.Load()
	out := &pb.Report{
		Host: r.Host, Cores: float32(r.Cores), Hosts: uint32(r.Hosts), Fast: uint32(r.Fast),
		DataCentre: s.DataCentre, Addr: s.Peers.String(),
		Leaving: encodeRuns(n.recentMarks()), Unreachable: n.reports.unreachable(), Stopping: n.stopping.Load(),
	}
	for name, use := range r.Services {
		if s := encodeUse(name, use); len(s.Targets)+len(s.Keys) > 0 {
			out.Services = append(out.Services, s)
		}
	}
	for _, f := range n.feeds {
		out.Feeds = append(out.Feeds, &pb.FeedRevision{Prefix: f.prefix, Revision: f.revision()})
	}
	n.quarantine.addToReport(out)
	return &pb.Frame{Body: &pb.Frame_Report{Report: out}}
}

func encodeUse(name string, use demand.ServiceUse) *pb.ServiceUse {
	out := &pb.ServiceUse{Service: name}
	for key, count := range use.Keys {
		out.Keys = append(out.Keys, uint32(key))
		out.Counts = append(out.Counts, uint32(count))
	}
	targets := make(map[string]*pb.TargetUse)
	useOf := func(target string) *pb.TargetUse {
		t := targets[target]
		if t == nil {
			t = &pb.TargetUse{Target: target}
			targets[target] = t
			out.Targets = append(out.Targets, t)
		}
		return t
	}
	for target, count := range use.Running {
		useOf(target).Running = uint32(count)
	}
	for target, count := range use.Wanted {
		useOf(target).Wanted = uint32(count)
	}
	for target, count := range use.Paused {
		useOf(target).Paused = uint32(count)
	}
	for target, seconds := range use.Seconds {
		useOf(target).Seconds = float32(seconds)
	}
	return out
}

func encodeRuns(runs []directory.Run) []*pb.TargetRun {
	var out []*pb.TargetRun
	for _, r := range runs {
		out = append(out, &pb.TargetRun{Target: r.Target, Run: r.Run})
	}
	return out
}

const (
	// maxCores limits the number of cores that another host may claim.
	maxCores = 1024
	// maxHosts limits the number of hosts that a report may sum up.
	maxHosts = 100_000
)

// finite returns a number of another host's frame, limited to 0 to limit. What is no
// number is 0.
func finite(x float32, limit float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(float64(x), limit)
}

// maxRequestSeconds limits the duration of a request in a report.
const maxRequestSeconds = 3600

// decodeReport decodes a report.
func decodeReport(in *pb.Report) demand.Report {
	r := demand.Report{
		Host: in.Host, Hosts: int(min(in.Hosts, maxHosts)), Fast: int(min(in.Fast, maxHosts)),
		Cores: finite(in.Cores, maxCores), Services: make(map[string]demand.ServiceUse),
	}
	for _, s := range in.Services {
		use := demand.ServiceUse{
			Keys: make(map[int]int), Running: make(map[string]int), Wanted: make(map[string]int), Paused: make(map[string]int),
			Seconds: make(map[string]float64),
		}
		for i, key := range s.Keys {
			if i < len(s.Counts) {
				use.Keys[int(key)] += int(s.Counts[i])
			}
		}
		for _, t := range s.Targets {
			use.Running[t.Target] = int(t.Running)
			use.Wanted[t.Target] = int(t.Wanted)
			if t.Paused > 0 {
				use.Paused[t.Target] = int(t.Paused)
			}
			if seconds := finite(t.Seconds, maxRequestSeconds); seconds > 0 {
				use.Seconds[t.Target] = seconds
			}
		}
		r.Services[s.Service] = use
	}
	return r
}

// encodeReply encodes the shares and host counts of the reply to a report.
func encodeReply(shares map[string]demand.Shares, hosts demand.HostSummary) *pb.ReportReply {
	out := &pb.ReportReply{Hosts: uint32(hosts.Count), Cores: float32(hosts.Cores), Fast: uint32(hosts.Fast)}
	for name, s := range shares {
		targets := make(map[string]*pb.TargetShare)
		shareOf := func(target string) *pb.TargetShare {
			if targets[target] == nil {
				targets[target] = &pb.TargetShare{Target: target}
			}
			return targets[target]
		}
		for target, others := range s.Others {
			shareOf(target).Others = float32(others)
		}
		for target, limit := range s.Limit {
			shareOf(target).Share = float32(limit)
		}
		for target, part := range s.Admit {
			shareOf(target).Admit = float32(part)
		}
		service := &pb.ServiceShare{Service: name}
		for _, t := range targets {
			service.Targets = append(service.Targets, t)
		}
		out.Services = append(out.Services, service)
	}
	return out
}

func decodeShares(in *pb.ReportReply) map[string]demand.Shares {
	out := make(map[string]demand.Shares)
	for _, s := range in.Services {
		shares := demand.Shares{Others: make(map[string]float64), Limit: make(map[string]float64), Admit: make(map[string]float64)}
		for _, t := range s.Targets {
			shares.Others[t.Target] = finite(t.Others, maxShare)
			if t.Share > 0 {
				shares.Limit[t.Target] = finite(t.Share, maxShare)
			}
			if t.Admit > 0 {
				shares.Admit[t.Target] = finite(t.Admit, 1)
			}
		}
		out[s.Service] = shares
	}
	return out
}

// maxShare limits the requests at a target that a reply names.
const maxShare = 1e6

func decodeHosts(in *pb.ReportReply) demand.HostSummary {
	return demand.HostSummary{Count: int(min(in.Hosts, maxHosts)), Cores: finite(in.Cores, maxCores), Fast: int(min(in.Fast, maxHosts))}
}

// encodeSettled encodes the completed moves that the stored maps do not yet record
// as complete.
func encodeSettled(settled map[string][]keyrange.ID) []*pb.SettledRanges {
	var out []*pb.SettledRanges
	for service, ids := range settled {
		s := &pb.SettledRanges{Service: service}
		for _, id := range ids {
			s.From = append(s.From, uint32(id.From))
			s.Fences = append(s.Fences, id.Fence)
		}
		out = append(out, s)
	}
	return out
}

func decodeSettled(in *pb.SettledRanges) []keyrange.ID {
	ids := make([]keyrange.ID, 0, len(in.From))
	for i, from := range in.From {
		if i < len(in.Fences) {
			ids = append(ids, keyrange.ID{From: int(from), Fence: in.Fences[i]})
		}
	}
	return ids
}

// revision returns the store revision up to which this host has the feed, or 0 if
// it has not been listed.
func (f *feed) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isListed {
		return 0
	}
	return f.mirror.Revision()
}

// relaysSince returns the changes of all feeds that a host with these revisions
// lacks.
func (n *Node) relaysSince(known []*pb.FeedRevision) []*pb.Relay {
	revisions := make(map[string]uint64, len(known))
	for _, k := range known {
		revisions[k.Prefix] = k.Revision
	}
	var out []*pb.Relay
	for _, f := range n.feeds {
		if _, isKnown := revisions[f.prefix]; f.isOptional && !isKnown {
			continue // the host would ignore it
		}
		if r := f.relaySince(revisions[f.prefix]); r != nil {
			out = append(out, r)
		}
	}
	return out
}

// relaySince returns the changes of a feed after a revision, or nil when this host
// has not listed the feed.
func (f *feed) relaySince(revision uint64) *pb.Relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isListed {
		return nil
	}
	changes := f.mirror.Since(revision)
	out := &pb.Relay{
		Prefix: f.prefix, AgeMs: uint64(ms(steadyClock() - f.lastAnswer)), Revision: changes.Revision, Full: changes.Full,
	}
	for _, o := range changes.Objects {
		if !changes.Full {
			if patch := f.node.encodePatch(o, revision); patch != nil {
				out.Objects = append(out.Objects, patch)
				continue
			}
		}
		out.Objects = append(out.Objects, &pb.RelayObject{
			Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: f.compressed.get(o),
		})
	}
	return out
}

// encodePatch returns an owner map as a patch to the version that a host at the
// revision has. It returns nil when that version is no longer in the history or
// the object is not an owner map.
func (n *Node) encodePatch(o mirror.Object, revision uint64) *pb.RelayObject {
	service, ok := strings.CutPrefix(o.Name, ownersPrefix)
	if !ok || o.Deleted {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	before, after := n.history.at(service, revision), n.owners[service]
	if before.keys == nil || after.version != o.Version {
		return nil
	}
	value, err := json.Marshal(keyrange.Diff(before.keys, after.keys))
	if err != nil {
		return nil // the whole map is sent
	}
	return &pb.RelayObject{Name: o.Name, Version: o.Version, Base: before.version, Value: compress(value)}
}

// applyPatch returns the full value of an owner map that was sent as a patch.
func (n *Node) applyPatch(o *pb.RelayObject, value []byte) ([]byte, error) {
	service, _ := strings.CutPrefix(o.Name, ownersPrefix)
	var p keyrange.Patch
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, err
	}
	n.mu.Lock()
	before := n.owners[service]
	n.mu.Unlock()
	if before.keys == nil || before.version != o.Base {
		return nil, errors.Newf("patch applies to version %d, have %d", o.Base, before.version)
	}
	return json.Marshal(p.Apply(before.keys))
}

// maxHistory is the number of versions kept of each map, enough for several
// reports.
const maxHistory = 32

// ownersHistory holds the latest versions of the owner maps by service, oldest
// first.
type ownersHistory map[string][]owners

func (h ownersHistory) add(service string, o owners) {
	list := append(h[service], o)
	if len(list) > maxHistory {
		list = slices.Delete(list, 0, len(list)-maxHistory)
	}
	h[service] = list
}

// at returns the version that was current at a revision of the store.
func (h ownersHistory) at(service string, revision uint64) owners {
	for _, o := range slices.Backward(h[service]) {
		if o.version <= revision {
			return o
		}
	}
	return owners{}
}

// applyRelays applies the changes that the coordinator relayed.
func (n *Node) applyRelays(relays []*pb.Relay) {
	for _, r := range relays {
		for _, f := range n.feeds {
			if f.prefix != r.Prefix {
				continue
			}
			if err := f.applyRelay(r); err != nil {
				n.log.Emit(evBadObject, "kind", f.prefix, "from", "coordinator", "error", err.Error())
			}
		}
	}
}

func (f *feed) applyRelay(r *pb.Relay) error {
	f.node.store.ObserveEra(era.Of(r.Revision))
	batch := objectstore.Batch{Revision: r.Revision}
	for _, o := range r.Objects {
		value, err := decompress(o.Value)
		if err != nil {
			// It stays unreadable however often it is requested, and concerns no other
			// object.
			batch.Faults = append(batch.Faults, objectstore.Fault{Name: o.Name, Reason: err.Error()})
			value = nil
		} else if o.Base > 0 {
			if value, err = f.node.applyPatch(o, value); err != nil {
				f.requireListing() // the next report then requests everything
				return errors.Wrap(err, o.Name)
			}
		}
		batch.Objects = append(batch.Objects, objectstore.Object{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: value})
	}
	f.applyBatch(batch, r.Full, time.Duration(min(r.AgeMs, maxRelayAgeMs))*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRelay, f.isOwnList = steadyClock(), false
	return nil
}

// maxRelayAgeMs limits the age of relayed objects that is taken from another host, in
// milliseconds.
const maxRelayAgeMs = 1_000_000_000

// compressedValues caches the compressed form of values, which is sent to all
// hosts: traffic between regions is expensive.
type compressedValues map[string]compressedValue

type compressedValue struct {
	version uint64
	bytes   []byte
}

func (c compressedValues) get(o mirror.Object) []byte {
	if o.Deleted {
		delete(c, o.Name)
		return nil
	}
	if v, ok := c[o.Name]; ok && v.version == o.Version {
		return v.bytes
	}
	v := compressedValue{o.Version, compress(o.Value)}
	c[o.Name] = v
	return v.bytes
}

// maxValueBytes limits the size of a value sent by another host to the store's own
// limit.
const maxValueBytes = objectstore.MaxValueBytes

// compressors are pooled, as a new one allocates all its windows.
var compressors = sync.Pool{New: func() any { return zlib.NewWriter(nil) }}

func compress(value []byte) []byte {
	var buf bytes.Buffer
	w := compressors.Get().(*zlib.Writer)
	defer compressors.Put(w)
	w.Reset(&buf)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return buf.Bytes()
}

func decompress(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := newDecompressor(packed)
	if err != nil {
		return nil, errors.Wrap(err, "decompress value")
	}
	defer decompressors.Put(r)
	value, err := io.ReadAll(io.LimitReader(r, maxValueBytes))
	return value, errors.Wrap(err, "decompress value")
}

// decompressors are pooled, as a new one allocates its window, and a host that starts
// decompresses the entries of all targets.
var decompressors sync.Pool

func newDecompressor(packed []byte) (io.ReadCloser, error) {
	r, ok := decompressors.Get().(io.ReadCloser)
	if !ok {
		return zlib.NewReader(bytes.NewReader(packed))
	}
	return r, r.(zlib.Resetter).Reset(bytes.NewReader(packed), nil) // as all zlib readers
}
