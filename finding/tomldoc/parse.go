package tomldoc

import (
	"bytes"
	"errors"
	"regexp"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxSyntaxErrors limits the number of invalid lines reported for one document.
const maxSyntaxErrors = 32

// parser builds the tree of a document. A line that is not valid TOML is
// reported and repaired in memory, and the document is parsed again, so that the
// line does not hide mistakes elsewhere.
type parser struct {
	doc          *Document
	lines        [][]byte
	broken       map[int]bool // by line, starting at 1
	root         *node
	currentTable *node // table that the next key-values are added to
	currentPath  string
}

func (p *parser) parse(data []byte) {
	p.lines = bytes.Split(data, []byte("\n"))
	for range maxSyntaxErrors {
		data = bytes.Join(p.lines, []byte("\n"))
		bad, ok := firstError(data)
		if ok {
			break
		}
		p.doc.addAt(place{bad.line, bad.column}, "", "", "%s", bad.message)
		if !p.repair(bad.line) {
			break
		}
	}
	p.build(bytes.Join(p.lines, []byte("\n")))
}

type syntaxError struct {
	place
	message string
}

// firstError returns the first syntax error of data, or true if there is none.
func firstError(data []byte) (syntaxError, bool) {
	var up unstable.Parser
	up.Reset(data)
	for up.NextExpression() {
	}
	err := up.Error()
	if err == nil {
		return syntaxError{}, true
	}
	at := place{1, 1}
	var perr *unstable.ParserError
	if errors.As(err, &perr) {
		at = locate(data, perr.Highlight)
	}
	return syntaxError{place: at, message: err.Error()}, false
}

// locate returns the position at which part, a subslice of data, begins.
func locate(data, part []byte) place {
	offset := cap(data) - cap(part)
	if offset < 0 || offset > len(data) {
		offset = 0
	}
	before := data[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n')
	return place{line, column}
}

var (
	brokenValue  = regexp.MustCompile(`^\s*([A-Za-z0-9_-]+)\s*=`)
	brokenHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_.-]+)`)
)

// repair replaces an invalid line by one that keeps its key or header, or by an
// empty line. It reports whether it changed anything.
func (p *parser) repair(line int) bool {
	i := line - 1
	if i >= len(p.lines) || len(p.lines[i]) == 0 {
		return false
	}
	old := p.lines[i]
	p.lines[i] = nil
	if p.broken[line] {
		return true
	}
	p.broken[line] = true
	if m := brokenValue.FindSubmatch(old); m != nil {
		p.lines[i] = []byte(string(m[1]) + "=0")
	}
	if m := brokenHeader.FindSubmatch(old); m != nil {
		closing := map[string]string{"[": "]", "[[": "]]"}[string(m[1])]
		p.lines[i] = []byte(string(m[1]) + string(m[2]) + closing)
	}
	return true
}

// build adds every expression to the tree, up to an error that could not be
// repaired.
func (p *parser) build(data []byte) {
	p.root = newTable(place{1, 1})
	p.currentTable = p.root
	var up unstable.Parser
	up.Reset(data)
	for up.NextExpression() {
		e := up.Expression()
		switch e.Kind {
		case unstable.Table:
			p.openTable(&up, e, false)
		case unstable.ArrayTable:
			p.openTable(&up, e, true)
		case unstable.KeyValue:
			p.addKeyValue(&up, p.currentTable, p.currentPath, e)
		}
	}
	if up.Error() != nil {
		p.doc.partial = true
	}
}

// keyStep is one part of a dotted key.
type keyStep struct {
	name  string
	place place
}

func parseKey(up *unstable.Parser, e *unstable.Node) []keyStep {
	var steps []keyStep
	for it := e.Key(); it.Next(); {
		n := it.Node()
		steps = append(steps, keyStep{name: string(n.Data), place: placeOf(up, n)})
	}
	return steps
}

func placeOf(up *unstable.Parser, n *unstable.Node) place {
	start := up.Shape(n.Raw).Start
	return place{start.Line, start.Column}
}

// openTable makes the table named by a [header] or [[header]] the current one.
func (p *parser) openTable(up *unstable.Parser, e *unstable.Node, isArray bool) {
	steps := parseKey(up, e)
	last := steps[len(steps)-1]
	parent, path := p.descend(p.root, "", steps[:len(steps)-1])
	table := newTable(last.place)
	table.isHeader = true
	p.currentPath = joinPath(path, last.name)
	p.currentTable = table // outside the tree; holds the keys of a duplicate table
	if parent == nil {
		return
	}
	existing := parent.fields[last.name]
	switch {
	case isArray && existing == nil:
		list := &node{kind: kindArray, place: last.place, isHeader: true, items: []*node{table}}
		parent.addField(last.name, list)
		p.doc.setPlace(p.currentPath, last.place)
		p.currentPath = p.doc.indexPath(p.currentPath, 0)
	case isArray && existing.kind == kindArray && existing.isHeader:
		p.currentPath = p.doc.indexPath(p.currentPath, len(existing.items))
		existing.items = append(existing.items, table)
	case !isArray && existing == nil:
		parent.addField(last.name, table)
	case !isArray && existing.kind == kindTable && !existing.isHeader:
		existing.isHeader = true
		existing.place = last.place
		p.currentTable = existing
	default:
		p.reportDuplicate(p.currentPath, last.place, existing.place)
		return
	}
	p.doc.setPlace(p.currentPath, last.place)
}

// descend walks a dotted key and creates the tables that are missing. It
// returns nil when a part of the key is not a table.
func (p *parser) descend(from *node, path string, steps []keyStep) (*node, string) {
	for _, s := range steps {
		path = joinPath(path, s.name)
		next := from.fields[s.name]
		if next == nil {
			next = newTable(s.place)
			from.addField(s.name, next)
			p.doc.setPlace(path, s.place)
		}
		if next.kind == kindArray && next.isHeader {
			path = p.doc.indexPath(path, len(next.items)-1)
		}
		isArrayValue := next.kind == kindArray && !next.isHeader
		next = next.lastTable()
		if isArrayValue || next.closed || next.kind != kindTable {
			p.reportDuplicate(path, s.place, next.place)
			return nil, path
		}
		from = next
	}
	return from, path
}

func (p *parser) reportDuplicate(path string, at, first place) {
	p.doc.addAt(at, path, "", "set twice; first in line %d", first.line)
}

func (p *parser) addKeyValue(up *unstable.Parser, table *node, path string, e *unstable.Node) {
	steps := parseKey(up, e)
	last := steps[len(steps)-1]
	parent, path := p.descend(table, path, steps[:len(steps)-1])
	if parent == nil {
		return
	}
	path = joinPath(path, last.name)
	if existing := parent.fields[last.name]; existing != nil {
		p.reportDuplicate(path, last.place, existing.place)
		return
	}
	p.doc.setPlace(path, last.place)
	value := p.newValue(up, e.Value(), path, last.place)
	if p.broken[last.place.line] {
		value.kind = kindBroken
		p.doc.markReported(path)
	}
	parent.addField(last.name, value)
}

// newValue converts a parsed value into a node. The node's place is that of its
// key, which is where a reader looks for it; array items have their own places.
func (p *parser) newValue(up *unstable.Parser, v *unstable.Node, path string, at place) *node {
	n := &node{place: at, text: string(v.Data)}
	switch v.Kind {
	case unstable.String:
		n.kind = kindString
	case unstable.Integer:
		n.kind = kindInteger
	case unstable.Float:
		n.kind = kindFloat
	case unstable.Bool:
		n.kind = kindBool
	case unstable.Array:
		n.kind = kindArray
		p.addArrayItems(up, v, n, path)
	case unstable.InlineTable:
		n.kind = kindTable
		n.fields = make(map[string]*node)
		n.isHeader = true
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				p.addKeyValue(up, n, path, it.Node())
			}
		}
		n.closed = true
	default:
		n.kind = kindTime
	}
	return n
}

func (p *parser) addArrayItems(up *unstable.Parser, v *unstable.Node, n *node, path string) {
	for it := v.Children(); it.Next(); {
		item := it.Node()
		if item.Kind == unstable.Comment {
			continue
		}
		at := n.place
		if item.Raw.Length > 0 {
			at = placeOf(up, item)
		}
		itemPath := p.doc.indexPath(path, len(n.items))
		p.doc.setPlace(itemPath, at)
		n.items = append(n.items, p.newValue(up, item, itemPath, at))
	}
}
