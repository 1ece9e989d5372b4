package tomldoc

// kind is the type of a value in a document.
type kind int

const (
	kindTable kind = iota
	kindArray
	kindString
	kindInteger
	kindFloat
	kindBool
	kindTime
	kindBroken // the text of the value is not valid TOML
)

var kindNames = map[kind]string{
	kindTable:   "a table",
	kindArray:   "an array",
	kindString:  "a string",
	kindInteger: "a whole number",
	kindFloat:   "a decimal number",
	kindBool:    "true or false",
	kindTime:    "a date or time",
	kindBroken:  "unreadable",
}

func (k kind) String() string { return kindNames[k] }

// place is a position in the text; line and column start at 1.
type place struct {
	line, column int
}

// node is one value of the document.
type node struct {
	kind   kind
	place  place
	text   string // for a scalar, its text
	fields map[string]*node
	names  []string // names of fields, in the order of the text
	items  []*node

	closed   bool // an inline table, to which nothing can be added
	isHeader bool // defined by its own [header] or [[header]], or an inline table
}

func newTable(at place) *node {
	return &node{kind: kindTable, place: at, fields: make(map[string]*node)}
}

// addField adds a field and reports whether the name was not in use.
func (n *node) addField(name string, value *node) bool {
	if _, taken := n.fields[name]; taken {
		return false
	}
	n.fields[name] = value
	n.names = append(n.names, name)
	return true
}

// lastTable returns the last item of a non-empty array, or the node itself.
func (n *node) lastTable() *node {
	if n.kind == kindArray && len(n.items) > 0 {
		return n.items[len(n.items)-1]
	}
	return n
}
