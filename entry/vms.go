package entry

import (
	"context"
	"time"

	"lovageshift"
	"lovageshift/folderservice"
)

const vmPollInterval = 10 * time.Second

// vmLister is implemented by a configuration source that can also list which VMs are live and which are leaving.
type vmLister interface {
	VMs(ctx context.Context) (folderservice.VMList, error)
}

// pollVMs keeps e.leaving up to date from the platform's list of VMs, until the context ends. It does nothing if the source has
// no such list. In the list, the VM of a target has the target's ID as its name. After a failed read, no VM counts as leaving
// until the next read.
func (e *Entry) pollVMs(ctx context.Context) error {
	source, ok := e.options.Source.(vmLister)
	if !ok {
		return nil
	}
	for ctx.Err() == nil {
		vms, _ := source.VMs(ctx)
		leaving := make(map[lovageshift.TargetID]bool, len(vms.Leaving))
		for _, name := range vms.Leaving {
			leaving[lovageshift.TargetID(name)] = true
		}
		e.mutex.Lock()
		e.leaving = leaving
		e.mutex.Unlock()
		lovageshift.Pause(ctx, e.node.Jitter(vmPollInterval))
	}
	return nil
}

// excludeLeaving returns the eligible targets whose VMs are not leaving. If the VMs of all are leaving, it returns all: the
// platform's list lags behind, and a VM listed as leaving may have come back under the same name. e.mutex must be held.
func (e *Entry) excludeLeaving(eligible []lovageshift.TargetID) []lovageshift.TargetID {
	if len(e.leaving) == 0 {
		return eligible
	}
	var remaining []lovageshift.TargetID
	for _, id := range eligible {
		if !e.leaving[id] {
			remaining = append(remaining, id)
		}
	}
	if len(remaining) == 0 {
		return eligible
	}
	return remaining
}
