package leader

import (
	"context"
	"errors"
	"log/slog"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// instanceTypesInterval is how often the cloud is queried for its instance types and their prices.
const instanceTypesInterval = 60 * micros.Second

// instanceTypesLoop keeps the instance types as the cloud offers them.
func (l *Leader) instanceTypesLoop(ctx context.Context) {
	micros.Every(ctx, instanceTypesInterval, func() {
		if err := l.refreshInstanceTypes(ctx); err != nil {
			slog.Debug("instance types not refreshed", "error", err)
		}
	})
}

// loadInstanceTypes uses the stored instance types, or else those that the cloud offers.
func (l *Leader) loadInstanceTypes(ctx context.Context) error {
	var stored wire.InstanceTypeList
	revision, err := l.Replica.Get(replica.InstanceTypesKey, &stored)
	if err != nil {
		return err
	}
	if revision != 0 {
		l.setInstanceTypes(stored)
		return nil
	}
	return l.refreshInstanceTypes(ctx)
}

// refreshInstanceTypes gets the instance types and their present prices from the cloud, and stores a list by which
// submissions would be judged differently.
func (l *Leader) refreshInstanceTypes(ctx context.Context) error {
	offered, err := l.Cloud.InstanceTypes(ctx)
	if err != nil {
		return err
	}
	var stored wire.InstanceTypeList
	revision, err := l.Replica.Get(replica.InstanceTypesKey, &stored)
	if err != nil {
		return err
	}
	l.setInstanceTypes(offered)
	isStored := revision != 0 && offersSameRoom(stored, offered)
	wasRejected := l.rejectedTypes != nil && offersSameRoom(*l.rejectedTypes, offered)
	if isStored || wasRejected {
		return nil
	}
	return l.storeInstanceTypes(ctx, offered, revision)
}

// storeInstanceTypes stores a list of instance types over the one of a revision.
func (l *Leader) storeInstanceTypes(ctx context.Context, offered wire.InstanceTypeList, over uint64) error {
	revision, err := l.Store.Commit(ctx, wire.Txn{
		If: []wire.Compare{
			{Key: replica.LeaderKey, ModRevision: l.LeaderKeyRevision},
			{Key: replica.InstanceTypesKey, ModRevision: over},
		},
		Then: []wire.Op{{Put: replica.InstanceTypesKey, Value: offered}},
	})
	if errors.Is(err, statestore.ErrRejected) {
		// The leader goes on with the list it has. Submissions are judged by the one stored before; a failover must
		// not wait for what cannot be.
		l.rejectedTypes = &offered
		slog.Error("state service rejects the instance types", "count", len(offered.Types), "bytes", wire.JSONSize(offered), "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	l.Replica.ApplyPut(replica.InstanceTypesKey, offered, revision)
	return nil
}

// offersSameRoom reports whether two lists agree in what decides whether a job can ever run.
func offersSameRoom(a, b wire.InstanceTypeList) bool {
	return slices.EqualFunc(a.Types, b.Types, func(x, y wire.InstanceType) bool {
		return x.Name == y.Name && x.CPUs == y.CPUs && x.GPUs == y.GPUs && x.MemoryGB == y.MemoryGB && slices.Equal(x.Zones, y.Zones)
	})
}
