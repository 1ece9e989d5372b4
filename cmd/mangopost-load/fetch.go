package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/report"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// fetchTimeout limits each request for a process's records.
const fetchTimeout = 30 * time.Second

// records holds the targets and the runs that the target stand-ins recorded.
type records struct {
	runs    []judge.Run
	targets []report.Target
}

// fetch reads the records of target processes from their admin listeners.
func fetch(addrs []string) (records, error) {
	var all records
	client := &http.Client{Timeout: fetchTimeout}
	for _, addr := range addrs {
		if err := all.fetchOne(client, addr); err != nil {
			return records{}, errors.Wrapf(err, "reading records of %s", addr)
		}
	}
	return all, nil
}

func (r *records) fetchOne(client *http.Client, addr string) error {
	err := getOK(client, "http://"+addr+"/admin/targets", func(body io.Reader) error {
		var targets []report.Target
		err := json.NewDecoder(body).Decode(&targets)
		r.targets = append(r.targets, targets...)
		return err
	})
	if err != nil {
		return errors.Wrap(err, "reading targets")
	}
	return errors.Wrap(getOK(client, "http://"+addr+"/runs", r.decodeRuns), "reading runs")
}

// getOK passes the body of a URL that answers with status 200 to read.
func getOK(client *http.Client, url string, read func(io.Reader) error) error {
	answer, err := client.Get(url)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("unexpected status %d", answer.StatusCode)
	}
	return read(answer.Body)
}

func (r *records) decodeRuns(body io.Reader) error {
	dec := json.NewDecoder(body)
	for {
		var run judge.Run
		err := dec.Decode(&run)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r.runs = append(r.runs, run)
	}
}

// readRuns adds the runs from a record file of the target stand-in.
func (r *records) readRuns(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "reading runs")
	}
	defer file.Close()
	if err := r.decodeRuns(file); err != nil {
		return errors.Wrapf(err, "reading runs from %s", path)
	}
	r.runs = lastRecords(r.runs)
	return nil
}

// lastRecords returns the last record of each run. A record file contains one
// for the start of a run and one for its end.
func lastRecords(runs []judge.Run) []judge.Run {
	type runID struct {
		target string
		number uint64
	}
	indexOf := make(map[runID]int)
	var last []judge.Run
	for _, run := range runs {
		id := runID{run.Target, run.Number}
		i, seen := indexOf[id]
		if seen {
			last[i] = run
			continue
		}
		indexOf[id] = len(last)
		last = append(last, run)
	}
	return last
}
