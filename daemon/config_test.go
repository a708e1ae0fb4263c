package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
)

// TestRepairedConfigurationIsPutInForce guards against an instance that goes on with a
// configuration that was corrupted in transit: the repaired one has the same revision,
// and was kept and logged as in force, but not used.
func TestRepairedConfigurationIsPutInForce(t *testing.T) {
	c := qt.New(t)
	d := &Daemon{table: &catalog.Table{}}
	builder := &config.Builder{}
	corrupt := &configlog.State{Revision: 3, Entries: configlog.Entries{}}
	repaired := &configlog.State{Revision: 3, Entries: configlog.Entries{"service/desk": []byte(`{"Name":"desk"}`)}}
	older := &configlog.State{Revision: 2, Entries: configlog.Entries{}}
	c.Assert(d.applyConfig(builder, corrupt), qt.IsNil)
	c.Assert(d.applyConfig(builder, repaired), qt.IsNil)
	c.Check(d.applyConfig(builder, older), qt.ErrorMatches, "revision 2 is lower than the one in force, 3")
	c.Check(d.table.Current().Services["desk"], qt.IsNotNil)
}
