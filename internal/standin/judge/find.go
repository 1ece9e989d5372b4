package judge

// findDuplicateRuns finds requests that ran more than once. Runs are grouped by
// idempotency key, or by request ID for requests without a key that their callers
// declared not idempotent.
func (r *Report) findDuplicateRuns(runs []Run, responses []Response) {
	notIdempotent := make(map[string]bool)
	for _, resp := range responses {
		if !resp.Idempotent && resp.IdempotencyKey == "" {
			notIdempotent[resp.RequestID] = true
		}
	}
	groups := make(map[requestKey][]Run)
	var order []requestKey
	for _, run := range runs {
		key := runRequestKey(run)
		if run.IdempotencyKey == "" {
			if !notIdempotent[run.RequestID] {
				continue
			}
			key.idempotencyKey = "\x00" + run.RequestID
		}
		if _, seen := groups[key]; !seen {
			order = append(order, key)
		}
		groups[key] = append(groups[key], run)
	}
	for _, key := range order {
		if group := groups[key]; len(group) > 1 {
			r.DuplicateRuns = append(r.DuplicateRuns, DuplicateRuns{
				Client: key.client, Service: key.service,
				IdempotencyKey: group[0].IdempotencyKey, Runs: group,
			})
		}
	}
}

type serviceKey struct{ service, key string }

// keyHistory is the state of one key while findOverlaps goes through its runs in
// order of their start.
type keyHistory struct {
	latestRuns  []Run             // the run that ends last, of each target
	highestRun  Run               // the run with the highest epoch in the key's current shard
	leftAtEpoch map[uint32]uint64 // owner epoch at which the key left a shard, by shard
}

// findOverlaps goes through the runs of each key in order of their start. It compares
// each run with the run that ends last at each other target and with the epochs of
// the key's shard, which finds an overlap if there is one. Epochs are per shard: a
// pinned key leaves the shard of its hash range and returns to it only at a higher
// epoch. Runs without an owner epoch belong to services that are not keyed.
func (r *Report) findOverlaps(runs []Run) {
	keys := make(map[serviceKey]*keyHistory)
	for _, run := range runs {
		if run.Key == "" || run.OwnerEpoch == 0 {
			continue
		}
		key := serviceKey{run.Service, run.Key}
		if keys[key] == nil {
			keys[key] = &keyHistory{highestRun: run, leftAtEpoch: make(map[uint32]uint64)}
		}
		if first, found := keys[key].findOverlap(run); found {
			r.Overlaps = append(r.Overlaps, Overlap{First: first, Second: run})
		}
		keys[key].add(run)
	}
}

func (h *keyHistory) findOverlap(run Run) (Run, bool) {
	for _, first := range h.latestRuns {
		if first.Target != run.Target && (first.End == 0 || first.End > run.Start) {
			return first, true
		}
	}
	if run.Shard != h.highestRun.Shard {
		epoch, hasLeft := h.leftAtEpoch[run.Shard]
		return h.highestRun, hasLeft && run.OwnerEpoch <= epoch
	}
	isOlderEpoch := h.highestRun.Target != run.Target && h.highestRun.OwnerEpoch > run.OwnerEpoch
	return h.highestRun, isOlderEpoch
}

func (h *keyHistory) add(run Run) {
	h.latestRuns = updateLatest(h.latestRuns, run)
	switch {
	case run.Shard != h.highestRun.Shard && run.OwnerEpoch > h.leftAtEpoch[run.Shard]:
		h.leftAtEpoch[h.highestRun.Shard] = h.highestRun.OwnerEpoch
		h.highestRun = run
	case run.Shard == h.highestRun.Shard && run.OwnerEpoch >= h.highestRun.OwnerEpoch:
		h.highestRun = run
	}
}

func updateLatest(latestRuns []Run, run Run) []Run {
	for i, other := range latestRuns {
		if other.Target != run.Target {
			continue
		}
		if other.End != 0 && (run.End == 0 || run.End > other.End) {
			latestRuns[i] = run
		}
		return latestRuns
	}
	return append(latestRuns, run)
}

// findContradictions compares each response with the runs of its request.
func (r *Report) findContradictions(runs []Run, responses []Response) {
	byID := make(map[string][]Run)
	byKey := make(map[requestKey][]Run)
	for _, run := range runs {
		byID[run.RequestID] = append(byID[run.RequestID], run)
		if run.IdempotencyKey != "" {
			byKey[runRequestKey(run)] = append(byKey[runRequestKey(run)], run)
		}
	}
	for _, resp := range responses {
		ownRuns, sameKeyRuns := byID[resp.RequestID], byKey[responseRequestKey(resp)]
		switch resp.Outcome {
		case OutcomeNotRun:
			r.checkNotRun(resp, ownRuns, sameKeyRuns)
		case OutcomeRan:
			r.checkRan(resp, ownRuns, sameKeyRuns)
		}
	}
}

func (r *Report) checkNotRun(resp Response, ownRuns, sameKeyRuns []Run) {
	if len(ownRuns) > 0 {
		r.NotRunButRan = append(r.NotRunButRan, Contradiction{Response: resp, Run: ownRuns[0]})
		return
	}
	for _, run := range sameKeyRuns {
		if resp.Answered == 0 || run.Start < resp.Answered {
			r.RefusedRepeats = append(r.RefusedRepeats, Contradiction{Response: resp, Run: run})
			return
		}
	}
}

// checkRan checks a response that says that the request ran. The replayed answer of
// an earlier attempt with the same idempotency key counts as the request's own.
func (r *Report) checkRan(resp Response, ownRuns, sameKeyRuns []Run) {
	candidates := ownRuns
	if len(candidates) == 0 {
		candidates = sameKeyRuns
	}
	if len(candidates) == 0 {
		r.RanWithoutRun = append(r.RanWithoutRun, Contradiction{Response: resp})
		return
	}
	if resp.EchoedID == "" || resp.EchoedID == resp.RequestID {
		return
	}
	for _, run := range sameKeyRuns {
		if run.RequestID == resp.EchoedID {
			return
		}
	}
	r.WrongAnswers = append(r.WrongAnswers, Contradiction{Response: resp, Run: candidates[0]})
}
