package peer

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Limits on the encoded size of one frame, without its length.
const (
	MaxFrameBytes     = 64 << 10
	MaxFileReplyBytes = 4 << 20
)

// errProtocol marks input that no instance of this program sends.
var errProtocol = errors.New("peer: protocol error")

// kind is the number of a frame's body field, or kindUnknown.
type kind int

const (
	kindUnknown   kind = 0
	kindHello     kind = 2
	kindFileReply kind = 15
	// kinds is one more than the largest field number of a body.
	kinds = 32
)

var (
	fromField = protowire.Number(1)
	bodyOneof = (&peerpb.Frame{}).ProtoReflect().Descriptor().Oneofs().ByName("body")
	kindNames = namesOfKinds()
)

func namesOfKinds() [kinds]string {
	names := [kinds]string{kindUnknown: "unknown"}
	fields := bodyOneof.Fields()
	for i := range fields.Len() {
		names[fields.Get(i).Number()] = string(fields.Get(i).Name())
	}
	return names
}

func kindOf(m protoreflect.Message) kind {
	field := m.WhichOneof(bodyOneof)
	if field == nil {
		return kindUnknown
	}
	return kind(field.Number())
}

func sizeLimit(k kind) int {
	if k == kindFileReply {
		return MaxFileReplyBytes
	}
	return MaxFrameBytes
}

// encodedFrame is a frame as it is written, with its length before it.
type encodedFrame struct {
	kind  kind
	bytes []byte
}

// encodeFrame encodes a frame as package protodelim does, with the sender where the frame names none. It
// reports false if the frame is larger than its kind may be.
func encodeFrame(from uint64, f *peerpb.Frame) (encodedFrame, bool) {
	k := kindOf(f.ProtoReflect())
	size := proto.Size(f)
	if f.GetFrom() == 0 {
		size += protowire.SizeTag(fromField) + protowire.SizeFixed64()
	}
	if size > sizeLimit(k) {
		return encodedFrame{}, false
	}
	b := make([]byte, 0, protowire.SizeVarint(uint64(size))+size)
	b = protowire.AppendVarint(b, uint64(size))
	if f.GetFrom() == 0 {
		b = protowire.AppendTag(b, fromField, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, from)
	}
	// The size was computed just now, so that MarshalAppend need not.
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
	return encodedFrame{k, b}, err == nil
}

// readFrame reads one length-delimited frame and returns its kind and its size
// with the length before it. The error is io.EOF at the end of the stream
// between two frames, one that is errProtocol for input that is too large or
// no frame, or that of the reader.
func readFrame(r *bufio.Reader) (*peerpb.Frame, kind, int, error) {
	limit, size, err := peekLimit(r)
	if err != nil {
		return nil, 0, 0, err
	}
	f := new(peerpb.Frame)
	err = protodelim.UnmarshalOptions{MaxSize: int64(limit)}.UnmarshalFrom(r, f)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, proto.Error):
		return nil, 0, 0, errors.Wrap(errProtocol, err.Error())
	case err == io.EOF:
		return nil, 0, 0, io.ErrUnexpectedEOF
	case err != nil:
		return nil, 0, 0, err
	}
	k := kindOf(f.ProtoReflect())
	if size > sizeLimit(k) {
		return nil, 0, 0, errors.Wrapf(errProtocol, "%s frame of %d bytes", kindNames[k], size)
	}
	return f, k, protowire.SizeVarint(uint64(size)) + size, nil
}

const (
	// No frame of an instance is shorter: its sender alone takes nine bytes.
	lengthPeekBytes = 3
	// The tag and the number of the sender, then the tag of the body.
	headBytes = 1 + 8 + 1
)

// peekLimit looks at the beginning of a frame and returns the most bytes that
// it may have and those that it says it has. Only what begins as a FileReply
// does may be large, so that no memory is set aside for anything else.
func peekLimit(r *bufio.Reader) (limit, size int, err error) {
	head, err := r.Peek(lengthPeekBytes)
	if err != nil {
		return 0, 0, unlessEmpty(err, head)
	}
	length, n := protowire.ConsumeVarint(head)
	if n > 0 && length <= MaxFrameBytes {
		return MaxFrameBytes, int(length), nil
	}
	head, err = r.Peek(protowire.SizeVarint(MaxFileReplyBytes) + headBytes)
	if err != nil {
		return 0, 0, unlessEmpty(err, head)
	}
	length, n = protowire.ConsumeVarint(head)
	if n < 0 || length > MaxFileReplyBytes || !beginsFileReply(head[n:]) {
		return 0, 0, errors.Wrap(errProtocol, "frame over the size limit")
	}
	return MaxFileReplyBytes, int(length), nil
}

func beginsFileReply(head []byte) bool {
	number, wire, n := protowire.ConsumeTag(head)
	if n != 1 || number != fromField || wire != protowire.Fixed64Type || len(head) < headBytes {
		return false
	}
	number, wire, n = protowire.ConsumeTag(head[headBytes-1:])
	return n == 1 && kind(number) == kindFileReply && wire == protowire.BytesType
}

// unlessEmpty tells an end within a frame from one between two frames.
func unlessEmpty(err error, head []byte) error {
	if err == io.EOF && len(head) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
