package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/maintenance"
)

func stopObjectName(id string) string { return platform.StopsPrefix + id }

// readSnapshot reads the configuration and the host list, on which stops depend.
func (a *App) readSnapshot(ctx context.Context) (maintenance.Snapshot, error) {
	cfg, err := a.readConfig(ctx)
	if err != nil {
		return maintenance.Snapshot{}, err
	}
	hosts, err := a.Store.Hosts(ctx)
	if err != nil {
		return maintenance.Snapshot{}, errors.Wrap(err, "read the host list")
	}
	snap := maintenance.Snapshot{Config: cfg}
	for _, h := range hosts {
		snap.Targets = append(snap.Targets, maintenance.Target{Name: h.Name, Service: h.Service, DataCentre: h.DataCentre})
	}
	return snap, nil
}

func (a *App) newMeta() maintenance.Meta { return maintenance.Meta{ID: a.RequestID, By: a.Operator} }

type stopAnnounce struct {
	leafCommand
	Targets    []string `long:"target" value-name:"NAME" description:"target to stop; may be given many times"`
	Service    string   `long:"service" value-name:"NAME" description:"service to stop"`
	DataCentre string   `long:"data-centre" value-name:"NAME" description:"data centre to stop"`
	Start      string   `long:"start" required:"true" value-name:"TIME" description:"when it begins, such as 2026-12-04T23:00:00+08:00"`
	Reason     string   `long:"reason" value-name:"TEXT" description:"what the clients are told"`
	Args       nameArg  `positional-args:"yes" required:"yes"`
}

func (c *stopAnnounce) run(ctx context.Context, a *App) error {
	start, err := time.Parse(time.RFC3339, c.Start)
	if err != nil {
		return &badInputError{[]finding.Finding{{Path: "start", Message: err.Error(), Hint: "date, time and offset, as in RFC 3339"}}}
	}
	announcement := maintenance.Announcement{
		Meta:   a.newMeta(),
		StopID: c.Args.Name,
		Scope:  maintenance.Scope{Targets: c.Targets, Service: c.Service, DataCentre: c.DataCentre},
		Start:  start,
		Reason: c.Reason,
	}
	snap, err := a.readSnapshot(ctx)
	if err != nil {
		return err
	}
	others, err := list[maintenance.Stop](ctx, a, platform.StopsPrefix)
	if err != nil {
		return err
	}
	stop, err := a.announce(ctx, announcement, snap, others)
	if err == nil {
		err = a.withdrawIfLater(ctx, stop, snap.Targets)
	}
	if err != nil {
		return err
	}
	if a.JSON {
		return a.showJSON(stop)
	}
	a.printf("stop %s is %s for %s", stop.ID, stop.State, formatUnixMS(stop.StartMS))
	a.printCalls(stop)
	return nil
}

func (a *App) announce(ctx context.Context, n maintenance.Announcement, snap maintenance.Snapshot, others []maintenance.Stop) (maintenance.Stop, error) {
	u := update[maintenance.Stop]{
		name: stopObjectName(n.StopID),
		change: func(now object[maintenance.Stop]) (maintenance.Stop, error) {
			if now.Version != 0 {
				s := now.Value
				return s, &conflictError{fmt.Sprintf("stop %s was already announced by %s at %s", s.ID, s.AnnouncedBy, formatUnixMS(s.AnnouncedMS))}
			}
			stop, findings := maintenance.Announce(n, snap, others, a.Now())
			if len(findings) > 0 {
				return stop, &badInputError{findings}
			}
			return stop, nil
		},
		isApplied: func(s maintenance.Stop) bool {
			_, ok := s.Find(n.ID)
			return ok
		},
	}
	return u.run(ctx, a)
}

// changeStop applies an event to a stop. request must be the event's ID.
func (a *App) changeStop(ctx context.Context, id, request string, event maintenance.Event) (maintenance.Stop, error) {
	u := update[maintenance.Stop]{
		name: stopObjectName(id),
		change: func(now object[maintenance.Stop]) (maintenance.Stop, error) {
			if now.Version == 0 {
				return now.Value, errors.Wrapf(errNotFound, "stop %s", id)
			}
			return maintenance.Apply(now.Value, event, a.Now())
		},
		isApplied: func(s maintenance.Stop) bool {
			_, ok := s.Find(request)
			return ok
		},
	}
	return u.run(ctx, a)
}

func (a *App) changeAndShow(ctx context.Context, id string, event maintenance.Event) error {
	stop, err := a.changeStop(ctx, id, a.RequestID, event)
	if err != nil {
		return err
	}
	if a.JSON {
		return a.showJSON(stop)
	}
	a.printf("stop %s is %s", stop.ID, stop.State)
	a.printCalls(stop)
	return nil
}

func (a *App) printCalls(s maintenance.Stop) {
	for _, c := range s.UncalledClients() {
		a.printf("call %s on %s, then: mangopostctl stop called %s %s", c.Client, c.Phone, s.ID, c.Client)
	}
}

type stopCalled struct {
	leafCommand
	At   string `long:"at" value-name:"TIME" description:"when the call was made; now when left out"`
	Note string `long:"note" value-name:"TEXT" description:"what was agreed"`
	Args struct {
		Stop   string `positional-arg-name:"STOP"`
		Client string `positional-arg-name:"CLIENT"`
	} `positional-args:"yes" required:"yes"`
}

func (c *stopCalled) run(ctx context.Context, a *App) error {
	at := a.Now()
	if c.At != "" {
		var err error
		if at, err = time.Parse(time.RFC3339, c.At); err != nil {
			return &badInputError{[]finding.Finding{{Path: "at", Message: err.Error()}}}
		}
	}
	return a.changeAndShow(ctx, c.Args.Stop, maintenance.Called{
		Meta: a.newMeta(), Client: c.Args.Client, AtMS: at.UnixMilli(), Note: c.Note,
	})
}

type stopCancel struct {
	leafCommand
	Why  string  `long:"why" value-name:"TEXT" description:"kept in the history"`
	Args nameArg `positional-args:"yes" required:"yes"`
}

func (c *stopCancel) run(ctx context.Context, a *App) error {
	return a.changeAndShow(ctx, c.Args.Name, maintenance.Cancel{Meta: a.newMeta(), Reason: c.Why})
}

type stopFinish struct {
	leafCommand
	Args nameArg `positional-args:"yes" required:"yes"`
}

func (c *stopFinish) run(ctx context.Context, a *App) error {
	return a.changeAndShow(ctx, c.Args.Name, maintenance.Finish{Meta: a.newMeta()})
}

type stopStatus struct {
	leafCommand
	Args nameArg `positional-args:"yes" required:"yes"`
}

func (c *stopStatus) run(ctx context.Context, a *App) error {
	got, err := read[maintenance.Stop](ctx, a, stopObjectName(c.Args.Name))
	if err != nil {
		return err
	}
	if got.Version == 0 {
		return errors.Wrapf(errNotFound, "stop %s", c.Args.Name)
	}
	if a.JSON {
		return a.showJSON(got.Value)
	}
	a.describeStop(got.Value)
	return nil
}

func (a *App) describeStop(s maintenance.Stop) {
	a.printf("stop       %s", s.ID)
	a.printf("state      %s%s", s.State, finishedSuffix(s))
	a.printf("scope      %s", scopeText(s.Scope))
	a.printf("start      %s", formatUnixMS(s.StartMS))
	a.printf("announced  %s by %s", formatUnixMS(s.AnnouncedMS), s.AnnouncedBy)
	a.printf("services   %s", strings.Join(s.Services, ", "))
	if s.BegunMS != 0 {
		a.printf("begun      %s", formatUnixMS(s.BegunMS))
		a.printf("drained    %d of %d targets", len(s.Drained), len(s.Targets))
	}
	for _, c := range s.Calls {
		a.printf("call       %s %s: %s", c.Client, c.Phone, callText(c))
	}
	for _, e := range s.History {
		a.printf("history    %s %s by %s -> %s %s", formatUnixMS(e.AtMS), e.Event, e.By, e.State, e.What)
	}
}

func finishedSuffix(s maintenance.Stop) string {
	if s.Finished {
		return ", finished"
	}
	return ""
}

func callText(c maintenance.Call) string {
	if !c.Called() {
		return "not called"
	}
	return strings.TrimSpace(fmt.Sprintf("called %s by %s %s", formatUnixMS(c.CalledAtMS), c.CalledBy, c.Note))
}

func scopeText(s maintenance.Scope) string {
	switch {
	case s.Service != "":
		return "service " + s.Service
	case s.DataCentre != "":
		return "data centre " + s.DataCentre
	default:
		return "targets " + strings.Join(s.Targets, ", ")
	}
}

type stopList struct {
	leafCommand
	All bool `long:"all" description:"also those that were cancelled or finished"`
}

func (c *stopList) run(ctx context.Context, a *App) error {
	stops, err := list[maintenance.Stop](ctx, a, platform.StopsPrefix)
	if err != nil {
		return err
	}
	if !c.All {
		stops = slices.DeleteFunc(stops, func(s maintenance.Stop) bool { return !s.Active() })
	}
	t := table{header: []string{"STOP", "STATE", "START", "SCOPE", "CALLED", "DRAINED"}, items: stops}
	for _, s := range stops {
		called := len(s.Calls) - len(s.UncalledClients())
		t.add(s.ID, string(s.State)+finishedSuffix(s), formatUnixMS(s.StartMS), scopeText(s.Scope),
			fmt.Sprintf("%d/%d", called, len(s.Calls)), fmt.Sprintf("%d/%d", len(s.Drained), len(s.Targets)))
	}
	return a.show(t)
}
