package fleet

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/standin/backend"
	"github.com/teaseltide/teaseltide/internal/standin/store"
)

// SetMode switches the mode of a backend server.
func (f *Fleet) SetMode(ctx context.Context, worker int, mode backend.Mode) error {
	return post(ctx, f.BackendURL(worker)+"/mode", []byte(mode))
}

// SetFaults replaces the faults of the store's stand-in.
func (f *Fleet) SetFaults(ctx context.Context, faults store.Faults) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "fleet: encode")
	}
	return post(ctx, f.StoreURL()+"/faults", data)
}

// Faults returns the faults of the store's stand-in that are still in force.
func (f *Fleet) Faults(ctx context.Context) (store.Faults, error) {
	var faults store.Faults
	err := getJSON(ctx, f.StoreURL()+"/faults", "", &faults)
	return faults, err
}
