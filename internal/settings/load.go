package settings

import (
	"fmt"
	"io"
	"os"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/finding/tomldoc"
)

// ExitBadSettings is the exit status of a daemon whose settings are not valid.
const ExitBadSettings = 2

// Load reads and checks a settings file. The settings are usable only when
// there are no findings; Host is never nil.
func Load(path string) (*Host, []finding.Finding) {
	data, err := readBounded(path)
	if err != nil {
		return defaults(), []finding.Finding{{File: path, Message: err.Error()}}
	}
	return LoadBytes(path, data)
}

func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxFileBytes {
		return nil, fmt.Errorf("larger than %d bytes", MaxFileBytes)
	}
	return data, nil
}

// LoadBytes decodes and checks the text of a settings file. Name is the file name
// in findings.
func LoadBytes(name string, data []byte) (*Host, []finding.Finding) {
	h := defaults()
	doc := tomldoc.Decode(name, data, h)
	fillDefaults(h, doc.Has)
	c := checker{doc: doc, host: h}
	c.checkAll()
	return h, doc.Findings()
}

// Print writes one line for each finding.
func Print(w io.Writer, findings []finding.Finding) {
	finding.Print(w, findings)
}
