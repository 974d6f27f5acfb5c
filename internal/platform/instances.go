package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// listedInstance is one entry of the published list. Pointers tell a missing
// field from an empty one.
type listedInstance struct {
	Name             *string `json:"name"`
	AvailabilityZone *string `json:"availability_zone"`
	PeerAddress      *string `json:"peer_address"`
	Leaving          bool    `json:"leaving"`
}

// parseInstances reads an instance list strictly: a list with one wrong entry
// is wrong as a whole.
func parseInstances(list []byte) ([]reducer.Instance, error) {
	decoder := json.NewDecoder(bytes.NewReader(list))
	decoder.DisallowUnknownFields()
	var listed []listedInstance
	if err := decoder.Decode(&listed); err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("instance list: text after its end")
	}
	if listed == nil {
		return nil, errors.New("instance list: null")
	}
	instances := make([]reducer.Instance, 0, len(listed))
	names := make(map[string]bool, len(listed))
	addresses := make(map[string]bool, len(listed))
	for i, l := range listed {
		instance, err := l.instance()
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

func (l listedInstance) instance() (reducer.Instance, error) {
	var none reducer.Instance
	switch {
	case l.Name == nil || *l.Name == "":
		return none, errors.New("no name")
	case l.AvailabilityZone == nil || *l.AvailabilityZone == "":
		return none, errors.New("no availability_zone")
	case l.PeerAddress == nil:
		return none, errors.New("no peer_address")
	}
	address, err := netip.ParseAddrPort(*l.PeerAddress)
	if err != nil {
		return none, errors.Wrap(err, "peer_address")
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return none, errors.Newf("peer_address %q cannot be connected to", *l.PeerAddress)
	}
	return reducer.Instance{
		Name: *l.Name, AvailabilityZone: *l.AvailabilityZone,
		PeerAddress: address.String(), Leaving: l.Leaving,
	}, nil
}
