package e2e

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// Target is a stand-in process that serves one target.
type Target struct {
	Name    string
	Link    *standin.Link // link from the gateways to the target; nil if connected directly
	Process *Process      // nil until started

	cluster    *Cluster
	dataCentre dataCentre
	service    string
	listen     string
	admin      string
	records    []*runRecord
}

// runRecord identifies the run record file of one process.
type runRecord struct {
	path  string
	ended int64 // when the process was killed, in Unix nanoseconds; 0 while it runs
}

func newTarget(c *Cluster, dc dataCentre, service string, number int, linked bool) (*Target, error) {
	addrs, err := freeAddrs(loopback, 2)
	if err != nil {
		return nil, err
	}
	t := &Target{
		Name: fmt.Sprintf("%s-%s-%d", service, dc.name, number), cluster: c, dataCentre: dc,
		service: service, listen: addrs[0], admin: addrs[1],
	}
	if linked {
		t.Link, err = standin.NewLink(t.Name, "127.0.0.1:0", t.listen)
	}
	return t, err
}

// Start starts the target's process. It may be called again after the process
// was killed.
func (t *Target) Start() error {
	path := filepath.Join(t.cluster.dir, fmt.Sprintf("%s-%d.runs", t.Name, len(t.records)))
	// Create the record before the process starts, so that a missing file means
	// that a record was lost.
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		return errors.Wrap(err, "create run record")
	}
	args := []string{
		"targets", "--config", t.settingsPath(), "--admin", t.admin, "--record", path,
	}
	process, err := start(t.cluster.dir, t.Name, t.cluster.binaries.path("mangopost-standin"), args...)
	if err != nil {
		return err
	}
	t.Process = process
	t.records = append(t.records, &runRecord{path: path})
	return nil
}

func (t *Target) settingsPath() string { return filepath.Join(t.cluster.dir, t.Name+".toml") }

func (t *Target) writeSettings(opts Options) error {
	text := fmt.Sprintf(`[[target]]
name = %q
service = %q
data_centre = %q
listen = %q
slots = %d
checks_grants = %t
restart_ms = %d
`, t.Name, t.service, t.dataCentre.name, t.listen, opts.Slots, opts.ChecksGrants, opts.RestartMS)
	return errors.Wrap(os.WriteFile(t.settingsPath(), []byte(text), 0o600), "write settings")
}

// Kill kills the target's process and returns the time of the signal in Unix
// nanoseconds.
func (t *Target) Kill() int64 {
	at := t.Process.Kill()
	t.records[len(t.records)-1].ended = at
	return at
}

// Addr returns the address under which gateways reach the target.
func (t *Target) Addr() string {
	if t.Link != nil {
		return t.Link.Addr()
	}
	return t.listen
}

func (t *Target) hostListEntry(state platform.HostState) platform.TargetHost {
	return platform.TargetHost{
		Name: t.Name, Service: t.service, DataCentre: t.dataCentre.name, Addr: t.Addr(), State: state,
	}
}

// Runs returns the runs of all processes of the target. Runs that were open
// when a process was killed count as crashed at that time.
func (t *Target) Runs() ([]judge.Run, error) {
	var all []judge.Run
	for _, r := range t.records {
		file, err := os.Open(r.path)
		if err != nil {
			return nil, errors.Wrap(err, "open run record")
		}
		runs, err := judge.ReadRuns(file)
		file.Close()
		if err != nil {
			return nil, errors.Wrap(err, t.Name)
		}
		if r.ended != 0 {
			judge.MarkOpenCrashed(runs, r.ended)
		}
		all = append(all, runs...)
	}
	return all, nil
}
