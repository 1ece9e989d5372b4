package report

// TargetLoad summarises the runs of one target.
type TargetLoad struct {
	Target    string  `json:"target"`
	Service   string  `json:"service"`
	Runs      int     `json:"runs"`
	BusyMS    float64 `json:"busy_ms"` // total duration of its runs
	Cancelled int     `json:"cancelled"`
	Crashed   int     `json:"crashed"`
}
