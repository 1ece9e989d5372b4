package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// CommandResult is the result of one run of mangopostctl.
type CommandResult struct {
	Operator       string
	ExitCode       int
	Stdout, Stderr string
}

// Exit codes of mangopostctl.
const (
	ExitDone        = 0
	ExitRefused     = 1
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitUnknown     = 5
)

var acceptedPattern = regexp.MustCompile(`accepted as configuration (\d+)`)

// Accepted returns the version under which a configuration change was accepted.
func (r CommandResult) Accepted() (version uint64, ok bool) {
	match := acceptedPattern.FindStringSubmatch(r.Stdout)
	if r.ExitCode != ExitDone || match == nil {
		return 0, false
	}
	version, err := strconv.ParseUint(match[1], 10, 64)
	return version, err == nil
}

// commandTimeout bounds one run of mangopostctl.
const commandTimeout = 20 * time.Second

// RunCommand runs mangopostctl as an operator.
func (c *Cluster) RunCommand(operator string, args ...string) CommandResult {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	args = append([]string{"--platform", c.server.Addr, "--operator", operator}, args...)
	cmd := exec.CommandContext(ctx, c.binaries.path("mangopostctl"), args...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		return CommandResult{Operator: operator, ExitCode: -1, Stderr: err.Error()}
	}
	return CommandResult{Operator: operator, ExitCode: cmd.ProcessState.ExitCode(), Stdout: out.String(), Stderr: errOut.String()}
}

// Command is one invocation of mangopostctl by an operator.
type Command struct {
	Operator string
	Args     []string
}

// RunConcurrently runs several mangopostctl commands at the same time and
// returns their results in order.
func (c *Cluster) RunConcurrently(commands ...Command) []CommandResult {
	results := make([]CommandResult, len(commands))
	var wg sync.WaitGroup
	for i, command := range commands {
		wg.Go(func() { results[i] = c.RunCommand(command.Operator, command.Args...) })
	}
	wg.Wait()
	return results
}

// ClientFile writes a TOML file that describes a client account and returns its
// path.
func (c *Cluster) ClientFile(name string, weight int) (string, error) {
	path := filepath.Join(c.dir, fmt.Sprintf("%s-%d.toml", name, weight))
	text := fmt.Sprintf("[[client]]\nname = %q\nphone = \"+60 3 0000 0100\"\nservices = [%q]\nweight = %d\n", name, Service, weight)
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "write client file")
}

// Admits reports whether a host accepts and runs a request of a client.
func (c *Cluster) Admits(h *Host, client, key string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Callers+"/"+Service+"/holdings?work_ms=0", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Mangopost-Client", client)
	req.Header.Set("Mangopost-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.Header.Get("Mangopost-Outcome") == "ran"
}

// raceWeightCount is the number of client weights that racing operators cycle
// through.
const raceWeightCount = 8

// RaceOperators lets two operators change the same client concurrently and
// repeatedly, without coordination, until it is healed.
func (c *Cluster) RaceOperators([]string) (Failure, error) {
	var commands [raceWeightCount]Command
	for i := range commands {
		file, err := c.ClientFile(ClientName, i+1)
		if err != nil {
			return Failure{}, err
		}
		commands[i] = Command{Operator: fmt.Sprintf("operator-%d", i%2), Args: []string{"client", "apply", file}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n += 2 {
			c.RunConcurrently(commands[n%raceWeightCount], commands[(n+1)%raceWeightCount])
		}
	})
	heal := func() error {
		cancel()
		wg.Wait()
		return nil
	}
	return Failure{At: time.Now().UnixNano(), Heal: heal}, nil
}
