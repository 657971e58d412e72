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

// instanceTypesInterval is the interval at which the cloud is queried for its instance types and their prices.
const instanceTypesInterval = 60 * micros.Second

// instanceTypesLoop refreshes the instance types periodically until ctx ends.
func (l *Leader) instanceTypesLoop(ctx context.Context) {
	micros.Every(ctx, instanceTypesInterval, func() {
		if err := l.refreshInstanceTypes(ctx); err != nil {
			slog.Debug("refreshing the instance types failed, will retry", "error", err)
		}
	})
}

// loadInstanceTypes loads the stored instance types, or queries the cloud for them if none are stored.
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

// refreshInstanceTypes gets the instance types and their current prices from the cloud. It stores the list if it
// changes which submissions are valid, unless the state service has rejected an equivalent list before.
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
	isStored := revision != 0 && equivalentForValidation(stored, offered)
	wasRejected := l.rejectedTypes != nil && equivalentForValidation(*l.rejectedTypes, offered)
	if isStored || wasRejected {
		return nil
	}
	return l.storeInstanceTypes(ctx, offered, revision)
}

// storeInstanceTypes stores a list of instance types, provided that the stored list still has the expected mod revision
// and this term still holds the leader key.
func (l *Leader) storeInstanceTypes(ctx context.Context, offered wire.InstanceTypeList, expectedRevision uint64) error {
	revision, err := l.Store.Commit(ctx, wire.Txn{
		If: []wire.Compare{
			{Key: replica.LeaderKey, ModRevision: l.LeaderKeyRevision},
			{Key: replica.InstanceTypesKey, ModRevision: expectedRevision},
		},
		Then: []wire.Op{{Put: replica.InstanceTypesKey, Value: offered}},
	})
	if errors.Is(err, statestore.ErrRejected) {
		// This leader uses the rejected list all the same, and submissions are validated against the list stored
		// before. The rejection is no error for the caller, because a failover must not wait for a write that can never
		// succeed.
		l.rejectedTypes = &offered
		slog.Error("state service rejected the instance types, submissions are validated against the stored ones", "count", len(offered.Types), "bytes", wire.JSONSize(offered), "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	l.Replica.ApplyPut(replica.InstanceTypesKey, offered, revision)
	return nil
}

// equivalentForValidation reports whether two lists agree in everything that decides whether a job can ever run.
func equivalentForValidation(a, b wire.InstanceTypeList) bool {
	return slices.EqualFunc(a.Types, b.Types, func(x, y wire.InstanceType) bool {
		return x.Name == y.Name && x.CPUs == y.CPUs && x.GPUs == y.GPUs && x.MemoryGB == y.MemoryGB && slices.Equal(x.Zones, y.Zones)
	})
}
