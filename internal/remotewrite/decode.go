package remotewrite

import (
	"errors"

	writev2 "github.com/prometheus/client_golang/exp/api/remote/genproto/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

var errUnknownSymbol = errors.New("remotewrite: label reference is outside the symbol table")

// DecodeV1 decodes an uncompressed message of remote write 1.0: the labels of each series, and its samples
// or native histograms. It returns an error if the message is malformed.
func DecodeV1(b []byte) (out []Sample, err error) {
	err = forEachBytesField(b, func(field protowire.Number, series []byte) error {
		if field != fieldSeries {
			return nil
		}
		samples, err := decodeSeriesV1(series)
		out = append(out, samples...)
		return err
	})
	return out, err
}

func decodeSeriesV1(b []byte) (out []Sample, err error) {
	s := &Series{}
	err = forEachBytesField(b, func(field protowire.Number, v []byte) error {
		switch field {
		case fieldLabels:
			l, err := decodeLabelV1(v)
			if err != nil {
				return err
			}
			s.Labels = append(s.Labels, l)
		case fieldSamples:
			var x writev2.Sample
			if err := proto.Unmarshal(v, &x); err != nil {
				return err
			}
			out = append(out, Sample{Series: s, Timestamp: x.Timestamp, Value: x.Value})
		case fieldHistograms:
			h := &writev2.Histogram{}
			if err := proto.Unmarshal(v, h); err != nil {
				return err
			}
			out = append(out, Sample{Series: s, Timestamp: h.Timestamp, Histogram: h})
		}
		return nil
	})
	return out, err
}

func decodeLabelV1(b []byte) (l Label, err error) {
	err = forEachBytesField(b, func(field protowire.Number, v []byte) error {
		switch field {
		case fieldName:
			l.Name = string(v)
		case fieldValue:
			l.Value = string(v)
		}
		return nil
	})
	return l, err
}

// forEachBytesField calls f for each length-delimited field of a protobuf message and skips the other
// fields. An error of f ends the iteration.
func forEachBytesField(b []byte, f func(protowire.Number, []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		if kind != protowire.BytesType {
			if n = protowire.ConsumeFieldValue(field, kind, b); n < 0 {
				return protowire.ParseError(n)
			}
			b = b[n:]
			continue
		}
		v, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		if err := f(field, v); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// DecodeV2 decodes an uncompressed message of remote write 2.0. It returns an error if the message is
// malformed or refers to a symbol that is not in its symbol table.
func DecodeV2(b []byte) (out []Sample, err error) {
	var req writev2.Request
	if err := proto.Unmarshal(b, &req); err != nil {
		return nil, err
	}
	for _, series := range req.Timeseries {
		s := &Series{CreatedAt: series.CreatedTimestamp}
		if series.Metadata != nil {
			s.Type = series.Metadata.Type
		}
		if s.Labels, err = resolveLabels(req.Symbols, series.LabelsRefs); err != nil {
			return nil, err
		}
		var exemplars []Exemplar
		for _, e := range series.Exemplars {
			labels, err := resolveLabels(req.Symbols, e.LabelsRefs)
			if err != nil {
				return nil, err
			}
			exemplars = append(exemplars, Exemplar{labels, e.Value, e.Timestamp})
		}
		for _, x := range series.Samples {
			out = append(out, Sample{Series: s, Timestamp: x.Timestamp, Value: x.Value})
		}
		for _, h := range series.Histograms {
			out = append(out, Sample{Series: s, Timestamp: h.Timestamp, Histogram: h, Exemplars: exemplars})
		}
	}
	return out, nil
}

// resolveLabels returns the labels that refs refer to. refs are indexes into the symbol table that
// alternate between names and values.
func resolveLabels(symbols []string, refs []uint32) (labels []Label, err error) {
	for i := 0; i+1 < len(refs); i += 2 {
		name, value := int(refs[i]), int(refs[i+1])
		if name >= len(symbols) || value >= len(symbols) {
			return nil, errUnknownSymbol
		}
		labels = append(labels, Label{symbols[name], symbols[value]})
	}
	return labels, nil
}
