#include "counters.h"

static const char *const counter_names[COUNTER_COUNT] = {
#define COUNTER_NAME(name) #name,
	COUNTERS(COUNTER_NAME)
#undef COUNTER_NAME
};

static void format_histogram(const struct histogram *h, const char *name,
			     enum call_class call_class, GString *out)
{
	static const double shares[] = { 0.5, 0.99, 0.999 };
	static const char *const labels[] = { "p50", "p99", "p999" };
	const char *label = call_class_name(call_class);

	g_string_append_printf(out, "%s_%s_count %" G_GUINT64_FORMAT "\n", name,
			       label, h->count);
	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++)
		g_string_append_printf(out, "%s_%s_%s %" G_GUINT64_FORMAT "\n",
				       name, label, labels[i],
				       histogram_percentile(h, shares[i]));
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
		format_histogram(&counters->service_us[i], "service_us",
				 (enum call_class)i, out);
	}
}
