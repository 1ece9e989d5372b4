package tomldoc

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/mangopost/mangopost/finding"
)

func decodeRoot(d *Document, root *node, into any) {
	decodeTable(d, root, "", reflect.ValueOf(into).Elem())
}

// FieldNames returns the TOML names of a struct type's fields in order.
func FieldNames(t reflect.Type) []string {
	var names []string
	for f := range t.Fields() {
		if name := fieldName(f); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func decodeTable(d *Document, n *node, path string, v reflect.Value) {
	fields := make(map[string]reflect.Value)
	for f, value := range v.Fields() {
		if name := fieldName(f); name != "" {
			fields[name] = value
		}
	}
	for _, name := range n.names {
		at := joinPath(path, name)
		field, known := fields[name]
		if !known {
			d.Add(at, finding.DidYouMean(name, FieldNames(v.Type())), "unknown key")
			continue
		}
		decodeValue(d, n.fields[name], at, field)
	}
}

func decodeValue(d *Document, n *node, path string, v reflect.Value) {
	if n.kind == kindBroken {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if checkKind(d, n, path, kindTable) {
			decodeTable(d, n, path, v)
		}
	case reflect.Slice:
		if checkKind(d, n, path, kindArray) {
			decodeSlice(d, n, path, v)
		}
	case reflect.String:
		if checkKind(d, n, path, kindString) {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if checkKind(d, n, path, kindBool) {
			v.SetBool(n.text == "true")
		}
	case reflect.Float32, reflect.Float64:
		decodeFloat(d, n, path, v)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		decodeInt(d, n, path, v)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		decodeUint(d, n, path, v)
	default:
		panic("tomldoc: cannot decode into " + v.Type().String())
	}
}

// checkKind reports whether the value has the wanted kind, and adds a finding if
// it does not.
func checkKind(d *Document, n *node, path string, want kind) bool {
	if n.kind == want {
		return true
	}
	d.Add(path, kindHint(path, n, want), "must be %v, not %v", want, n.kind)
	return false
}

// kindHint returns a hint for a value of the wrong kind, or "". A number written
// with a unit gets a hint because units are part of the names, not of the values.
func kindHint(path string, n *node, want kind) string {
	if want == kindArray && n.kind == kindTable {
		return "write [[" + path + "]]"
	}
	if want != kindInteger || n.kind != kindString {
		return ""
	}
	for suffix, unit := range unitSuffixes {
		if strings.HasSuffix(path, suffix) {
			return "write the number of " + unit + " without a unit"
		}
	}
	return "write the number without quotes"
}

var unitSuffixes = map[string]string{
	"_ms":    "milliseconds",
	"_bytes": "bytes",
	"_s":     "seconds",
}

func decodeSlice(d *Document, n *node, path string, v reflect.Value) {
	out := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		decodeValue(d, item, d.indexPath(path, i), out.Index(i))
	}
	v.Set(out)
}

func decodeFloat(d *Document, n *node, path string, v reflect.Value) {
	if n.kind != kindInteger && !checkKind(d, n, path, kindFloat) {
		return
	}
	x, err := strconv.ParseFloat(normalizeNumber(n.text), v.Type().Bits())
	if err != nil {
		d.Add(path, "", "not a number that can be represented")
		return
	}
	v.SetFloat(x)
}

func decodeInt(d *Document, n *node, path string, v reflect.Value) {
	if !checkKind(d, n, path, kindInteger) {
		return
	}
	x, err := strconv.ParseInt(normalizeNumber(n.text), 0, v.Type().Bits())
	if err != nil {
		d.Add(path, "", "%s is out of range", n.text)
		return
	}
	v.SetInt(x)
}

func decodeUint(d *Document, n *node, path string, v reflect.Value) {
	if !checkKind(d, n, path, kindInteger) {
		return
	}
	x, err := strconv.ParseUint(normalizeNumber(n.text), 0, v.Type().Bits())
	if err != nil {
		d.Add(path, "", "%s is out of range", n.text)
		return
	}
	v.SetUint(x)
}

func normalizeNumber(number string) string {
	return strings.TrimPrefix(strings.ReplaceAll(number, "_", ""), "+")
}
