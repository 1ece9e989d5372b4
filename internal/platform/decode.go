package platform

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
)

// DecodeObject decodes the answer to a get of name.
func DecodeObject(body []byte, name string) (Object, error) {
	var obj Object
	if err := json.Unmarshal(body, &obj); err != nil {
		return Object{}, withCause(ErrUnavailable, err)
	}
	if obj.Name != name {
		return Object{}, errors.Wrapf(ErrUnavailable, "answer is for object %q", obj.Name)
	}
	if obj.Version == 0 {
		return Object{}, errors.Wrap(ErrUnavailable, "answer has no version")
	}
	return obj, nil
}

// DecodeVersion decodes the answer to a successful write. A malformed answer is
// ErrUncertain, as the change was made but its version is unknown.
func DecodeVersion(body []byte) (uint64, error) {
	var answer struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, withCause(ErrUncertain, err)
	}
	if answer.Version == 0 {
		return 0, errors.Wrap(ErrUncertain, "answer has no version")
	}
	return answer.Version, nil
}

// DecodeBatch decodes the answer to a list or watch of prefix. It checks that no object
// of the batch is newer than the batch's revision.
func DecodeBatch(body []byte, prefix string) (Batch, error) {
	var batch Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return Batch{}, withCause(ErrUnavailable, err)
	}
	for _, obj := range batch.Objects {
		if !strings.HasPrefix(obj.Name, prefix) {
			return Batch{}, errors.Wrapf(ErrUnavailable, "answer contains object %q outside the prefix", obj.Name)
		}
		if obj.Version == 0 || obj.Version > batch.Revision {
			return Batch{}, errors.Wrapf(ErrUnavailable, "%q has version %d at revision %d", obj.Name, obj.Version, batch.Revision)
		}
	}
	return batch, nil
}

// DecodeHosts decodes the host list. It rejects the whole list if any entry is invalid,
// with the errors of all entries.
func DecodeHosts(body []byte) ([]TargetHost, error) {
	var list HostList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, withCause(ErrUnavailable, err)
	}
	if err := list.Check(); err != nil {
		return nil, withCause(ErrUnavailable, err)
	}
	return list.Hosts, nil
}

// HostList is the host list in its wire format.
type HostList struct {
	Hosts []TargetHost `json:"hosts"`
}

// Check returns the joined errors of all entries.
func (l HostList) Check() error {
	var faults error
	seen := make(map[string]bool, len(l.Hosts))
	for i, host := range l.Hosts {
		if err := host.check(); err != nil {
			faults = errors.Join(faults, errors.Wrapf(err, "hosts[%d]", i))
		}
		if seen[host.Name] {
			faults = errors.Join(faults, errors.Newf("hosts[%d]: name %q is listed twice", i, host.Name))
		}
		seen[host.Name] = true
	}
	return faults
}

func (h TargetHost) check() error {
	if h.Name == "" || h.Service == "" {
		return errors.New("name or service is missing")
	}
	if _, err := netip.ParseAddrPort(h.Addr); err != nil {
		return errors.Wrapf(err, "addr of %s", h.Name)
	}
	if h.State != HostLive && h.State != HostLeaving {
		return errors.Newf("unknown state %q of %s", h.State, h.Name)
	}
	return nil
}
