package dedup

// SetMutantAcceptsSentBeforeTable switches mutantAcceptsSentBeforeTable on or off.
func SetMutantAcceptsSentBeforeTable(on bool) { mutantAcceptsSentBeforeTable = on }

// SetMutantImportIgnoresDrops switches mutantImportIgnoresDrops on or off.
func SetMutantImportIgnoresDrops(on bool) { mutantImportIgnoresDrops = on }
