package lease

import "slices"

// Electorate holds the voters of a cell under one record. It takes effect through the
// promises of Old, the voters of the preceding record; a first record has none. If the
// preceding record was itself not settled, Older holds the voters of the records before
// it.
type Electorate struct {
	Cell       string
	Record     uint64 // rises by one with each change of voters
	Voters     []Incarnation
	Old        []Incarnation
	Older      [][]Incarnation
	Gone       []Incarnation // earlier voters that an operator declared permanently lost
	StoreVotes bool          // the store is to break ties between two halves; not yet used in votes
}

// Majority returns the number of voters that make a majority. An even number of hosts
// needs one more than half, whether or not StoreVotes is set.
func (e Electorate) Majority() int { return majorityOf(e.Voters) }

// Has reports whether voter belongs to the electorate.
func (e Electorate) Has(voter Incarnation) bool { return slices.Contains(e.Voters, voter) }

// predecessors returns the earlier electorates whose voters must leave before this one
// takes effect.
func (e Electorate) predecessors() [][]Incarnation {
	if len(e.Old) == 0 {
		return nil
	}
	return append([][]Incarnation{e.Old}, e.Older...)
}

// earlierVoters returns every voter of the earlier electorates once.
func (e Electorate) earlierVoters() []Incarnation {
	var all []Incarnation
	for _, voters := range e.predecessors() {
		for _, id := range voters {
			if !slices.Contains(all, id) {
				all = append(all, id)
			}
		}
	}
	return all
}

func majorityOf(voters []Incarnation) int { return len(voters)/2 + 1 }

// isLaterRunOf reports whether a is a later run on b's host.
func (a Incarnation) isLaterRunOf(b Incarnation) bool { return a.Host == b.Host && a.Run > b.Run }
