package lease

// ReportedUnreachable returns the names, in order, of the targets that the holder does
// not claim and that a voter reports as unreachable from their gateway. Among unclaimed
// targets, the reachability set by SetAlive matters only for these: the holder may have
// to take them over.
func (h *Holder) ReportedUnreachable() []string {
	if !h.hasVacancies() {
		return nil
	}
	var names []string
	for _, name := range h.targetNames {
		if h.isReportedUnreachable(name, h.targets[name]) {
			names = append(names, name)
		}
	}
	return names
}

// isReportedUnreachable reports whether any voter reports an unclaimed target as
// unreachable from its gateway. One voter suffices, so that the target is already
// probed while the reports of the other voters are outstanding.
func (h *Holder) isReportedUnreachable(name string, t *target) bool {
	cell, ok := h.cells[h.cfg.Cell]
	if !ok || t.begun {
		return false
	}
	for _, voter := range cell.voters {
		if vacancy, listed := voter.vacant[name]; listed && !vacancy.Silent {
			return true
		}
	}
	return false
}
