// Package usage reads the resource usage of processes from /proc: CPU time,
// memory, and the bytes that they read and write.
package usage

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the clock tick rate of CPU times in /proc on Linux.
const ticksPerSecond = 100

// Sample is the resource usage of a process since it started.
type Sample struct {
	CPU     time.Duration
	RSS     int64 // resident memory, in bytes
	Written int64 // bytes written by write calls, to sockets and files alike
	Read    int64 // bytes read by read calls, likewise
}

// Read returns the current sample of a process.
func Read(pid int) (Sample, error) { return readFrom(filepath.Join("/proc", strconv.Itoa(pid))) }

func readFrom(dir string) (Sample, error) {
	var s Sample
	for name, parse := range map[string]func(*Sample, string) error{
		"stat": parseStat, "statm": parseMemory, "io": parseIO,
	} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return Sample{}, errors.Wrap(err, "reading process usage")
		}
		if err := parse(&s, string(text)); err != nil {
			return Sample{}, errors.Wrapf(err, "%s of %s", name, dir)
		}
	}
	return s, nil
}

// Indices of the fields of /proc/PID/stat after the command name.
const (
	userField   = 11
	systemField = 12
)

func parseStat(s *Sample, text string) error {
	end := strings.LastIndex(text, ") ") // the command name may contain one too
	fields := strings.Fields(text[end+1:])
	if end < 0 || len(fields) <= systemField {
		return errors.New("too few fields")
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	s.CPU = time.Duration(user+system) * time.Second / ticksPerSecond
	return errors.Join(userErr, systemErr)
}

func parseMemory(s *Sample, text string) error {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return errors.New("too few fields")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	s.RSS = pages * int64(os.Getpagesize())
	return err
}

func parseIO(s *Sample, text string) error {
	for _, line := range strings.Split(text, "\n") {
		name, value, _ := strings.Cut(line, ": ")
		n, err := strconv.ParseInt(value, 10, 64)
		switch {
		case name == "rchar" && err == nil:
			s.Read = n
		case name == "wchar" && err == nil:
			s.Written = n
		case name == "rchar", name == "wchar":
			return err
		}
	}
	return nil
}

// Rate is the resource usage of a process per second between two samples.
type Rate struct {
	Name    string  `json:"name"`
	Core    float64 `json:"core"`      // share of one core
	RSS     int64   `json:"rss_bytes"` // of the later sample
	Written float64 `json:"written_bytes_per_s"`
	Read    float64 `json:"read_bytes_per_s"`
}

// Between returns the rate between samples a and b, taken elapsed apart.
func Between(name string, a, b Sample, elapsed time.Duration) Rate {
	return Rate{
		Name:    name,
		Core:    (b.CPU - a.CPU).Seconds() / elapsed.Seconds(),
		RSS:     b.RSS,
		Written: float64(b.Written-a.Written) / elapsed.Seconds(),
		Read:    float64(b.Read-a.Read) / elapsed.Seconds(),
	}
}
