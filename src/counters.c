#include "counters.h"

static const char *const counter_names[COUNTER_COUNT] = {
#define COUNTER_NAME(name) #name,
	COUNTERS(COUNTER_NAME)
#undef COUNTER_NAME
};

static void format_histogram(const struct histogram *h, const char *name,
			     enum call_class call_class, GString *out)
{
	static const double fractions[] = { 0.5, 0.99, 0.999 };
	static const char *const labels[] = { "p50", "p99", "p999" };
	const char *label = call_class_name(call_class);

	g_string_append_printf(out, "%s_%s_count %" G_GUINT64_FORMAT "\n", name,
			       label, h->count);
	for (size_t i = 0; i < G_N_ELEMENTS(fractions); i++)
		g_string_append_printf(out, "%s_%s_%s %" G_GUINT64_FORMAT "\n",
				       name, label, labels[i],
				       histogram_percentile(h, fractions[i]));
}

void counters_format(const struct counters *counters, GString *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++)
		g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n",
				       counter_names[i], counters->values[i]);
	for (int i = 0; i < PACKET_PURPOSE_COUNT; i++) {
		const char *name = packet_purpose_name((enum packet_purpose)i);

		g_string_append_printf(out,
				       "bytes_sent_%s %" G_GUINT64_FORMAT "\n",
				       name, counters->bytes_sent[i]);
		g_string_append_printf(out,
				       "bytes_received_%s %" G_GUINT64_FORMAT
				       "\n",
				       name, counters->bytes_received[i]);
	}
	g_string_append_printf(out, "bytes_store %" G_GUINT64_FORMAT "\n",
			       counters->store_bytes);
	for (int i = 0; i < CALL_CLASS_COUNT; i++) {
		format_histogram(&counters->latency_us[i], "latency_us",
				 (enum call_class)i, out);
		format_histogram(&counters->link_us[i], "link_us",
				 (enum call_class)i, out);
		format_histogram(&counters->admission_delay_us[i], "gate_us",
				 (enum call_class)i, out);
		format_histogram(&counters->service_us[i], "service_us",
				 (enum call_class)i, out);
	}
}

/* Upper bounds of the Prometheus buckets. */
static const uint64_t bucket_bounds_us[] = {
	500,	1000,	2000,	5000,	 10000,	  20000,   50000,
	100000, 200000, 500000, 1000000, 2000000, 5000000, 10000000,
};

static void format_prometheus_counter(GString *out, const char *name,
				      const char *label, uint64_t value)
{
	g_string_append_printf(out, "fescue_%s_total%s %" G_GUINT64_FORMAT "\n",
			       name, label, value);
}

static void format_prometheus_histogram(GString *out, const char *name,
					const struct histogram *h,
					const char *label)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_us); i++)
		g_string_append_printf(
			out,
			"fescue_%s_bucket{class=\"%s\",le=\"%g\"} "
			"%" G_GUINT64_FORMAT "\n",
			name, label, (double)bucket_bounds_us[i] / 1e6,
			histogram_count_below(h, bucket_bounds_us[i]));
	g_string_append_printf(out,
			       "fescue_%s_bucket{class=\"%s\",le=\"+Inf\"} "
			       "%" G_GUINT64_FORMAT "\n"
			       "fescue_%s_sum{class=\"%s\"} %g\n"
			       "fescue_%s_count{class=\"%s\"} "
			       "%" G_GUINT64_FORMAT "\n",
			       name, label, h->count, name, label,
			       (double)h->sum / 1e6, name, label, h->count);
}

static void
format_prometheus_durations(GString *out, const char *name,
			    const struct histogram h[CALL_CLASS_COUNT])
{
	g_string_append_printf(out, "# TYPE fescue_%s histogram\n", name);
	for (int i = 0; i < CALL_CLASS_COUNT; i++)
		format_prometheus_histogram(
			out, name, &h[i], call_class_name((enum call_class)i));
}

static void format_prometheus_bytes(const struct counters *counters,
				    GString *out)
{
	char label[64];

	g_string_append(out, "# TYPE fescue_bytes_total counter\n");
	for (int i = 0; i < PACKET_PURPOSE_COUNT; i++) {
		const char *name = packet_purpose_name((enum packet_purpose)i);

		g_snprintf(label, sizeof(label),
			   "{purpose=\"%s\",direction=\"sent\"}", name);
		format_prometheus_counter(out, "bytes", label,
					  counters->bytes_sent[i]);
		g_snprintf(label, sizeof(label),
			   "{purpose=\"%s\",direction=\"received\"}", name);
		format_prometheus_counter(out, "bytes", label,
					  counters->bytes_received[i]);
	}
}

void counters_format_prometheus(const struct counters *counters, GString *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++) {
		g_string_append_printf(out, "# TYPE fescue_%s_total counter\n",
				       counter_names[i]);
		format_prometheus_counter(out, counter_names[i], "",
					  counters->values[i]);
	}
	format_prometheus_bytes(counters, out);
	format_prometheus_durations(out, "call_duration_seconds",
				    counters->latency_us);
	format_prometheus_durations(out, "link_duration_seconds",
				    counters->link_us);
	format_prometheus_durations(out, "gate_duration_seconds",
				    counters->admission_delay_us);
	format_prometheus_durations(out, "run_duration_seconds",
				    counters->service_us);
}
