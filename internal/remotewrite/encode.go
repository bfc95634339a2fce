package remotewrite

import (
	writev2 "github.com/prometheus/client_golang/exp/api/remote/genproto/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Protobuf field numbers of prometheus.WriteRequest in remote write 1.0 (prompb/remote.proto and
// types.proto). The messages Sample and Histogram have the same fields as in 2.0, so the types of 2.0 are
// used for them.
const (
	fieldSeries     = 1
	fieldLabels     = 1
	fieldSamples    = 2
	fieldHistograms = 4
	fieldName       = 1
	fieldValue      = 2
)

// encodeV1 encodes samples as a message of remote write 1.0, uncompressed.
func encodeV1(samples []*Sample) ([]byte, error) {
	var message, series, label []byte
	for _, s := range samples {
		series = series[:0]
		for _, l := range s.Series.Labels {
			label = appendBytes(label[:0], fieldName, []byte(l.Name))
			label = appendBytes(label, fieldValue, []byte(l.Value))
			series = appendBytes(series, fieldLabels, label)
		}
		var raw []byte
		var err error
		field := protowire.Number(fieldSamples)
		if s.Histogram != nil {
			field = fieldHistograms
			raw, err = proto.Marshal(s.Histogram)
		} else {
			raw, err = proto.Marshal(&writev2.Sample{Value: s.Value, Timestamp: s.Timestamp})
		}
		if err != nil {
			return nil, err
		}
		series = appendBytes(series, field, raw)
		message = appendBytes(message, fieldSeries, series)
	}
	return message, nil
}

func appendBytes(b []byte, field protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

// encodeV2 encodes samples as a message of remote write 2.0, uncompressed.
func encodeV2(samples []*Sample) ([]byte, error) {
	symbols := writev2.NewSymbolTable()
	req := &writev2.Request{}
	for _, s := range samples {
		series := &writev2.TimeSeries{
			Metadata: &writev2.Metadata{
				Type:    s.Series.Type,
				HelpRef: symbols.Symbolize(s.Series.Help),
			},
			CreatedTimestamp: s.Series.CreatedAt,
			LabelsRefs:       symbolize(&symbols, s.Series.Labels),
		}
		if s.Histogram != nil {
			series.Histograms = []*writev2.Histogram{s.Histogram}
		} else {
			series.Samples = []*writev2.Sample{{Value: s.Value, Timestamp: s.Timestamp}}
		}
		for _, e := range s.Exemplars {
			series.Exemplars = append(series.Exemplars, &writev2.Exemplar{
				Value:      e.Value,
				Timestamp:  e.Timestamp,
				LabelsRefs: symbolize(&symbols, e.Labels),
			})
		}
		req.Timeseries = append(req.Timeseries, series)
	}
	req.Symbols = symbols.Symbols()
	return proto.Marshal(req)
}

// symbolize adds labels to the symbol table and returns their references, which alternate between names and
// values.
func symbolize(symbols *writev2.SymbolsTable, labels []Label) (refs []uint32) {
	for _, l := range labels {
		refs = append(refs, symbols.Symbolize(l.Name), symbols.Symbolize(l.Value))
	}
	return refs
}
