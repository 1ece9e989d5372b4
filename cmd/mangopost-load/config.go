package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/template"
)

// changeConfig applies one change to the configuration in the store and returns
// its new version. edit adds the changes to the request.
func changeConfig(ctx context.Context, addr, what string, edit func(template.Config, *template.Request)) (uint64, error) {
	store := platform.NewClient(platform.Options{Addr: addr, Caller: "mangopost-load"})
	defer store.Close()
	object, err := store.Get(ctx, platform.ConfigObject)
	if err != nil {
		return 0, err
	}
	var cfg template.Config
	if err := json.Unmarshal(object.Value, &cfg); err != nil {
		return 0, errors.Wrap(err, "decoding the configuration")
	}
	req := template.Request{ID: fmt.Sprintf("load-%d", time.Now().UnixNano()), Operator: "mangopost-load", What: what}
	edit(cfg, &req)
	next, findings, err := template.Apply(cfg, req, time.Now())
	if err != nil {
		return 0, err
	}
	if len(findings) > 0 {
		return 0, errors.Newf("the configuration change has findings: %v", findings)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "encoding the configuration")
	}
	_, err = store.Put(ctx, platform.ConfigObject, object.Version, value)
	return next.Version, err
}

// configTimeout limits the wait until all routers use a configuration.
const configTimeout = 12 * time.Second

// waitForVersion waits until a router uses the given version of the configuration
// or a newer one.
func waitForVersion(ctx context.Context, router string, version uint64) error {
	for {
		var state struct {
			ConfigVersion uint64 `json:"config_version"`
		}
		err := getOK(http.DefaultClient, "http://"+router+"/state", func(body io.Reader) error {
			return json.NewDecoder(body).Decode(&state)
		})
		if err == nil && state.ConfigVersion >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("configuration %d is not in force at %s", version, router)
		case <-time.After(pollInterval):
		}
	}
}
