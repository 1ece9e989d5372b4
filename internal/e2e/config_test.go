package e2e_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin"
)

const (
	// storeOutageDuration is how long the store stays down after a change was
	// accepted.
	storeOutageDuration = 1500 * time.Millisecond
	// staleReadMS is the age of the data that stale reads return.
	staleReadMS = 3000
)

// configCluster is a cluster whose configuration is changed by operators
// through mangopostctl.
type configCluster struct {
	*e2e.Cluster
	keys    []string
	clients []string // accepted clients
	version uint64
}

// applyClient adds a client through mangopostctl. If the change is accepted, it
// records the client and the new configuration version.
func (c *configCluster) applyClient(t *testing.T, client string) e2e.CommandResult {
	t.Helper()
	file, err := c.ClientFile(client, 1)
	assert.NilError(t, err)
	result := c.RunCommand("ann", "client", "apply", file)
	if version, ok := result.Accepted(); ok {
		c.clients = append(c.clients, client)
		c.version = version
	}
	return result
}

// mustApplyClient adds a client and fails the test unless the change is
// accepted.
func (c *configCluster) mustApplyClient(t *testing.T, client string) {
	t.Helper()
	result := c.applyClient(t, client)
	_, ok := result.Accepted()
	assert.Assert(t, ok, "%+v", result)
}

// awaitInForce waits until the newest configuration is in force at every
// daemon, then checks that every host admits all accepted clients.
func (c *configCluster) awaitInForce(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if behind := c.DaemonsBehind(c.version); len(behind) > 0 {
			return poll.Continue("configuration %d is not in force: %v", c.version, behind)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	for _, h := range c.Hosts {
		for _, client := range c.clients {
			assert.Assert(t, c.Admits(h, client, c.keys[0]), "%s refuses requests of client %s, whose creation was accepted", h.Name, client)
		}
	}
}

// awaitActingPlacer waits until a placer acts for the cell.
func (c *configCluster) awaitActingPlacer(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.ActingPlacer() == nil {
			return poll.Continue("no acting placer")
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
}

// startConfigCluster starts a cluster and gives its first client a telephone
// number, because a change is accepted only if the resulting configuration is
// valid.
func startConfigCluster(t *testing.T) *configCluster {
	t.Helper()
	keys := e2e.Keys(8)
	c := &configCluster{Cluster: startCluster(t, e2e.Options{ChecksGrants: true, Targets: 2}, keys), keys: keys}
	c.mustApplyClient(t, e2e.ClientName)
	return c
}

// TestAcceptedConfigurationTakesEffectDespiteFailures checks that a change that
// was reported as accepted comes into force on every host despite failures, and
// that no daemon returns to an earlier configuration.
func TestAcceptedConfigurationTakesEffectDespiteFailures(t *testing.T) {
	t.Parallel()
	acquireClusterSlot(t)
	c := startConfigCluster(t)
	traffic := c.StartTraffic(c.keys, requestInterval, 3)
	watch := c.WatchConfig()
	for _, s := range []struct {
		name   string
		inject e2e.Inject
	}{
		{"router restarted", (*e2e.Cluster).KillRouter},
		{"acting placer restarted", (*e2e.Cluster).KillActingPlacer},
		{"host restarted", (*e2e.Cluster).KillHost},
		{"router paused", (*e2e.Cluster).PauseRouter},
		{"acting placer paused", (*e2e.Cluster).PauseActingPlacer},
		{"acting placer cut from the platform", (*e2e.Cluster).CutPlatform},
	} {
		ok := t.Run(s.name, func(t *testing.T) {
			failure, err := s.inject(c.Cluster, c.keys)
			assert.NilError(t, err)
			c.mustApplyClient(t, strings.ReplaceAll(s.name, " ", "-"))
			time.Sleep(failureDuration)
			assert.NilError(t, failure.Heal())
			c.awaitInForce(t)
		})
		if !ok {
			return
		}
	}
	t.Run("store outage in the middle", func(t *testing.T) {
		c.mustApplyClient(t, "before-the-outage")
		c.Platform.SetFaults(standin.PlatformFaults{Down: true})
		result := c.applyClient(t, "in-the-outage")
		assert.Equal(t, result.ExitCode, e2e.ExitUnavailable, "%+v", result)
		time.Sleep(storeOutageDuration)
		c.Platform.SetFaults(standin.PlatformFaults{})
		c.awaitInForce(t)
		for _, h := range c.Hosts {
			assert.Assert(t, !c.Admits(h, "in-the-outage", c.keys[0]), "%s admits a client whose creation was refused during the outage", h.Name)
		}
	})
	t.Run("stale reads", func(t *testing.T) {
		c.mustApplyClient(t, "before-stale-reads")
		c.Platform.SetFaults(standin.PlatformFaults{StaleMS: staleReadMS})
		failure, err := c.KillHost(c.keys)
		assert.NilError(t, err)
		c.awaitActingPlacer(t) // the killed host may have been the acting placer's
		placer, err := c.KillActingPlacer(nil)
		assert.NilError(t, err)
		assert.NilError(t, errors.Join(failure.Heal(), placer.Heal()))
		result := c.applyClient(t, "by-stale-reads")
		_, accepted := result.Accepted()
		assert.Assert(t, accepted || result.ExitCode == e2e.ExitConflict, "%+v", result)
		c.Platform.SetFaults(standin.PlatformFaults{})
		c.awaitInForce(t)
		assert.Equal(t, c.Admits(c.Hosts[0], "by-stale-reads", c.keys[0]), accepted, "%+v", result)
	})
	failIfAny(t, "daemons returned to an earlier configuration", watch.Stop())
	stopAndVerify(t, c.Cluster, traffic, c.keys)
}

// applyConflicting lets two operators change the weight of the same client
// concurrently, both based on the newest configuration.
func (c *configCluster) applyConflicting(t *testing.T, round int) []e2e.CommandResult {
	t.Helper()
	var commands []e2e.Command
	for i, operator := range []string{"ann", "bala"} {
		file, err := c.ClientFile("desk", 10*round+i+1)
		assert.NilError(t, err)
		base := strconv.FormatUint(c.version, 10)
		commands = append(commands, e2e.Command{Operator: operator, Args: []string{"client", "apply", "--base", base, file}})
	}
	return c.RunConcurrently(commands...)
}

// assertOneAccepted checks that exactly one of two concurrent changes was
// accepted and that the other operator was told the conflicting version and its
// author.
func (c *configCluster) assertOneAccepted(t *testing.T, results []e2e.CommandResult) {
	t.Helper()
	for i, winner := range results {
		loser := results[1-i]
		version, ok := winner.Accepted()
		if !ok {
			continue
		}
		assert.Equal(t, loser.ExitCode, e2e.ExitConflict, "%+v and %+v", winner, loser)
		wantReason := fmt.Sprintf("version %d by %s", version, winner.Operator)
		assert.Assert(t, strings.Contains(loser.Stderr, wantReason), "error %q does not contain %q", loser.Stderr, wantReason)
		assert.Assert(t, version > c.version)
		c.version = version
		return
	}
	t.Fatalf("neither change was accepted: %+v", results)
}

// TestConflictingChangesAcceptExactlyOne checks that exactly one of two
// conflicting changes is accepted, that the other operator is told which change
// came first, and that the accepted change comes into force everywhere, also
// while the store loses answers.
func TestConflictingChangesAcceptExactlyOne(t *testing.T) {
	t.Parallel()
	acquireClusterSlot(t)
	c := startConfigCluster(t)
	traffic := c.StartTraffic(c.keys, requestInterval, 3)
	watch := c.WatchConfig()
	c.mustApplyClient(t, "desk")
	for _, faults := range []standin.PlatformFaults{{}, {LoseAnswerEvery: 2}, {LoseAnswerEvery: 1}, {SlowMS: 100}} {
		c.Platform.SetFaults(faults)
		for round := range 3 {
			c.assertOneAccepted(t, c.applyConflicting(t, round))
		}
		c.Platform.SetFaults(standin.PlatformFaults{})
		c.awaitInForce(t)
	}
	failIfAny(t, "daemons returned to an earlier configuration", watch.Stop())
	stopAndVerify(t, c.Cluster, traffic, c.keys)
}
