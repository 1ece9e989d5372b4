package state

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/internal/platform"
)

func newConfigObject(version uint64, storeVersion uint64) platform.Object {
	raw, _ := json.Marshal(map[string]uint64{"version": version})
	return platform.Object{Name: platform.ConfigObject, Version: storeVersion, Value: raw}
}

func TestConfigurationNeverReverts(t *testing.T) {
	c := NewCache()
	c.Apply([]platform.Object{newConfigObject(4, 40)})
	assert.Equal(t, len(c.Apply([]platform.Object{newConfigObject(3, 30)})), 0)
	c.Apply([]platform.Object{newConfigObject(2, 50)}) // the store was reset, so that an older configuration has a higher store version
	assert.Equal(t, c.View().Config.Value.Version, uint64(4))
	c.Apply([]platform.Object{{Name: platform.ConfigObject, Version: 60, Deleted: true}})
	assert.Equal(t, c.View().Config.Value.Version, uint64(4))
}

func TestUndecodableObjectKeepsLastGoodValue(t *testing.T) {
	c := NewCache()
	c.Apply([]platform.Object{newConfigObject(1, 10)})
	c.Apply([]platform.Object{{Name: platform.ConfigObject, Version: 11, Value: json.RawMessage(`{"version":"x"}`)}})
	assert.Equal(t, c.View().Config.Value.Version, uint64(1))
	assert.Assert(t, c.View().Broken[platform.ConfigObject] != "")
	c.Apply([]platform.Object{newConfigObject(2, 12)})
	assert.Equal(t, len(c.View().Broken), 0)
}

func TestChangedIsClosedOnlyByNewerVersions(t *testing.T) {
	c := NewCache()
	c.Apply([]platform.Object{newConfigObject(1, 10)})
	changed := c.Changed()
	c.Apply([]platform.Object{newConfigObject(1, 10)})
	select {
	case <-changed:
		t.Fatal("Changed was closed without a newer version")
	default:
	}
	c.Apply([]platform.Object{newConfigObject(2, 11)})
	<-changed
}

// TestApplyOrderDoesNotMatter applies the same objects, which may contain duplicates, to
// two caches in different orders.
func TestApplyOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.Custom(func(t *rapid.T) platform.Object {
			version := rapid.Uint64Range(1, 9).Draw(t, "version")
			name := rapid.SampledFrom([]string{platform.OwnersPrefix + "a", platform.StopsPrefix + "b", platform.ConfigObject}).Draw(t, "name")
			raw, _ := json.Marshal(map[string]uint64{"version": version})
			return platform.Object{Name: name, Version: version, Value: raw}
		})
		objects := rapid.SliceOfN(object, 1, 20).Draw(t, "objects")
		shuffled := rapid.Permutation(objects).Draw(t, "shuffled")
		a, b := NewCache(), NewCache()
		for _, o := range objects {
			a.Apply([]platform.Object{o})
		}
		b.Apply(shuffled)
		assert.DeepEqual(t, a.Versions(), b.Versions())
		assert.Equal(t, a.View().Config.Value.Version, b.View().Config.Value.Version)
		assert.Equal(t, len(a.NewerThan(b.Versions())), 0)
	})
}
