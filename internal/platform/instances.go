package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// instanceEntry is one entry of the published list. Pointers distinguish a
// missing field from an empty one.
type instanceEntry struct {
	Name             *string `json:"name"`
	AvailabilityZone *string `json:"availability_zone"`
	PeerAddress      *string `json:"peer_address"`
	Leaving          bool    `json:"leaving"`
}

// parseInstances parses an instance list strictly: one invalid entry makes the
// whole list invalid.
func parseInstances(list []byte) ([]reducer.Instance, error) {
	decoder := json.NewDecoder(bytes.NewReader(list))
	decoder.DisallowUnknownFields()
	var listed []instanceEntry
	if err := decoder.Decode(&listed); err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("instance list: trailing data")
	}
	if listed == nil {
		return nil, errors.New("instance list is null")
	}
	instances := make([]reducer.Instance, 0, len(listed))
	names := make(map[string]bool, len(listed))
	addresses := make(map[string]bool, len(listed))
	for i, l := range listed {
		instance, err := l.validate()
		if err != nil {
			return nil, errors.Wrapf(err, "instance %d", i+1)
		}
		if names[instance.Name] || addresses[instance.PeerAddress] {
			return nil, errors.Newf("instance %d: %q at %q is listed twice", i+1, instance.Name, instance.PeerAddress)
		}
		names[instance.Name] = true
		addresses[instance.PeerAddress] = true
		instances = append(instances, instance)
	}
	return instances, nil
}

func (l instanceEntry) validate() (reducer.Instance, error) {
	var zero reducer.Instance
	switch {
	case l.Name == nil || *l.Name == "":
		return zero, errors.New("name is missing")
	case l.AvailabilityZone == nil || *l.AvailabilityZone == "":
		return zero, errors.New("availability_zone is missing")
	case l.PeerAddress == nil:
		return zero, errors.New("peer_address is missing")
	}
	address, err := netip.ParseAddrPort(*l.PeerAddress)
	if err != nil {
		return zero, errors.Wrap(err, "peer_address")
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return zero, errors.Newf("peer_address %q has an unspecified address or port", *l.PeerAddress)
	}
	return reducer.Instance{
		Name: *l.Name, AvailabilityZone: *l.AvailabilityZone,
		PeerAddress: address.String(), Leaving: l.Leaving,
	}, nil
}
