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

// Limits on the encoded size of one frame, without its length prefix.
const (
	MaxFrameBytes     = 64 << 10
	MaxFileReplyBytes = 4 << 20
)

// errProtocol marks input that violates the protocol. No instance of this
// program sends it.
var errProtocol = errors.New("peer: protocol error")

// kind is the field number of a frame's body, or kindUnknown.
type kind int

const (
	kindUnknown   kind = 0
	kindHello     kind = 2
	kindFileReply kind = 15
	// kindLimit is greater than the field number of every body. It sizes the
	// arrays that are indexed by kind.
	kindLimit = 32
)

var (
	fromField = protowire.Number(1)
	bodyOneof = (&peerpb.Frame{}).ProtoReflect().Descriptor().Oneofs().ByName("body")
	kindNames = buildKindNames()
)

func buildKindNames() [kindLimit]string {
	names := [kindLimit]string{kindUnknown: "unknown"}
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

// encodedFrame is a frame as it is written, including its length prefix.
type encodedFrame struct {
	kind  kind
	bytes []byte
}

// encodeFrame encodes a frame in the format of package protodelim, with from as
// its sender if the frame names none. It reports false if the frame exceeds the
// size limit of its kind.
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
	// proto.Size has cached the size for MarshalAppend.
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
	return encodedFrame{k, b}, err == nil
}

// readFrame reads one length-delimited frame and returns it with its kind and
// its size including the length prefix. The error is io.EOF if the stream ends
// between two frames, a wrapped errProtocol if the input is too large or not a
// frame, or else the error of the reader.
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
		return nil, 0, 0, errors.Wrapf(errProtocol, "%s frame of %d bytes is over the size limit", kindNames[k], size)
	}
	return f, k, protowire.SizeVarint(uint64(size)) + size, nil
}

const (
	// Every frame of an instance is longer than this: its sender field alone
	// takes nine bytes.
	lengthPeekBytes = 3
	// The tag and value of the sender, then the tag of the body.
	minHeaderBytes = 1 + 8 + 1
)

// peekLimit inspects the start of a frame and returns the size limit that
// applies and the size that the frame declares. Only a frame that starts like a
// FileReply may exceed MaxFrameBytes, so that no memory is allocated for other
// large frames.
func peekLimit(r *bufio.Reader) (limit, size int, err error) {
	head, err := r.Peek(lengthPeekBytes)
	if err != nil {
		return 0, 0, unexpectedEOF(err, head)
	}
	length, n := protowire.ConsumeVarint(head)
	if n > 0 && length <= MaxFrameBytes {
		return MaxFrameBytes, int(length), nil
	}
	head, err = r.Peek(protowire.SizeVarint(MaxFileReplyBytes) + minHeaderBytes)
	if err != nil {
		return 0, 0, unexpectedEOF(err, head)
	}
	length, n = protowire.ConsumeVarint(head)
	if n < 0 || length > MaxFileReplyBytes || !isFileReplyHeader(head[n:]) {
		return 0, 0, errors.Wrap(errProtocol, "frame over the size limit")
	}
	return MaxFileReplyBytes, int(length), nil
}

func isFileReplyHeader(head []byte) bool {
	number, wireType, n := protowire.ConsumeTag(head)
	if n != 1 || number != fromField || wireType != protowire.Fixed64Type || len(head) < minHeaderBytes {
		return false
	}
	number, wireType, n = protowire.ConsumeTag(head[minHeaderBytes-1:])
	return n == 1 && kind(number) == kindFileReply && wireType == protowire.BytesType
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF if head is not empty:
// the stream then ended within a frame, not between two frames.
func unexpectedEOF(err error, head []byte) error {
	if err == io.EOF && len(head) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
