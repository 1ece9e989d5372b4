package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// pollInterval is the interval between two requests while waiting.
const pollInterval = 50 * time.Millisecond

type waitCommand struct {
	TimeoutMS int64 `long:"timeout-ms" default:"20000" description:"milliseconds until it gives up"`
	Args      struct {
		URLs []string `positional-arg-name:"URL" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute waits until every URL answers with status 200.
func (c *waitCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.TimeoutMS)*time.Millisecond)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, url := range c.Args.URLs {
		group.Go(func() error { return waitFor(ctx, withScheme(url)) })
	}
	return group.Wait()
}

func withScheme(url string) string {
	if strings.Contains(url, "://") {
		return url
	}
	return "http://" + url
}

func waitFor(ctx context.Context, url string) error {
	for {
		err := checkOK(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "%s is not ready", url)
		case <-time.After(pollInterval):
		}
	}
}

// checkOK returns an error unless the URL answers with status 200.
func checkOK(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("unexpected status %d", answer.StatusCode)
	}
	return nil
}
