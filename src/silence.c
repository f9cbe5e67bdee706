#include "fescue/silence.h"

#include <glib.h>
#include <math.h>

#define KINDS_MAX 256 /* rules versions add and remove routes */
#define SAMPLES_MIN 8 /* answers of a kind before its runs are judged */
#define SAMPLE_WEIGHT (1.0 / 16) /* of a new answer in the averages */
#define MAX_DECAY 0.995 /* of the longest time, by each answer */
#define WITNESSES_MIN 4
/* Backend servers were seen 5 to 12 times as slow for seconds. */
#define SLOW_FACTOR_MAX 13
#define SLOW_FACTOR_MIN 5
#define DEVIATIONS_MIN 8
#define LONGEST_FACTOR 1.5
/* A backend server of a tenth of a core is not scheduled for as long. */
#define LIMIT_MIN_MS 250.0
#define LINK_MARGIN_MS 50 /* for a repeat's way to another host and back */
#define TICK_GAP_MAX_MS 150
#define HOLD_MIN_MS 20
#define HOLD_MAX_MS 2000
#define HOLD_UNKNOWN_MS 200

/* Times in which calls of a kind were answered, and its runs. */
struct kind {
	uint32_t samples;
	double mean_ms;
	double deviation_ms; /* mean absolute deviation */
	double longest_ms; /* decaying */
	GQueue runs; /* struct run, in the order of their start */
};

struct run {
	struct silence_run run;
	struct kind *kind;
	uint64_t lost_ms; /* struct silence's at its start */
	uint32_t witnesses;
	GList link; /* in kind->runs */
};

struct silence {
	GHashTable *kinds; /* kind -> struct kind */
	GHashTable *runs; /* ticket -> struct run */
	uint64_t last_tick_ms; /* 0: none yet */
	uint64_t lost_ms; /* total time of gaps between ticks */
	uint64_t last_answer_ms;
	uint64_t next_probe_ms; /* no run is judged without witnesses before */
};

static void run_free(gpointer p)
{
	struct run *r = p;

	g_queue_unlink(&r->kind->runs, &r->link);
	g_free(r);
}

struct silence *silence_create(void)
{
	struct silence *s = g_new0(struct silence, 1);

	s->kinds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	s->runs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					run_free);
	return s;
}

void silence_destroy(struct silence *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->runs);
	g_hash_table_destroy(s->kinds);
	g_free(s);
}

void silence_reset(struct silence *s)
{
	g_hash_table_remove_all(s->runs);
	g_hash_table_remove_all(s->kinds);
}

static struct kind *get_kind(struct silence *s, uint32_t kind)
{
	struct kind *k = g_hash_table_lookup(s->kinds, GUINT_TO_POINTER(kind));

	if (k)
		return k;
	if (g_hash_table_size(s->kinds) >= KINDS_MAX)
		silence_reset(s);
	k = g_new0(struct kind, 1);
	g_queue_init(&k->runs);
	g_hash_table_insert(s->kinds, GUINT_TO_POINTER(kind), k);
	return k;
}

void silence_started(struct silence *s, const struct silence_run *run)
{
	struct run *r = g_new0(struct run, 1);

	r->run = *run;
	r->kind = get_kind(s, run->kind);
	r->lost_ms = s->lost_ms;
	r->link.data = r;
	g_queue_push_tail_link(&r->kind->runs, &r->link);
	g_hash_table_replace(s->runs, &r->run.ticket, r);
}

static double run_age_ms(const struct silence *s, const struct run *r,
			 uint64_t now_ms)
{
	uint64_t ms = now_ms - MIN(r->run.started_ms, now_ms);
	uint64_t lost_ms = s->lost_ms - r->lost_ms;

	return (double)(ms - MIN(lost_ms, ms));
}

static void learn(struct kind *k, double ms)
{
	double weight;

	k->samples++;
	weight = MAX(1.0 / k->samples, SAMPLE_WEIGHT);
	k->mean_ms += weight * (ms - k->mean_ms);
	k->deviation_ms += weight * (fabs(ms - k->mean_ms) - k->deviation_ms);
	k->longest_ms = MAX(k->longest_ms * MAX_DECAY, ms);
}

void silence_answered(struct silence *s, uint64_t ticket, uint64_t now_ms)
{
	struct run *r = g_hash_table_lookup(s->runs, &ticket);

	if (!r)
		return;
	s->last_answer_ms = now_ms;
	learn(r->kind, run_age_ms(s, r, now_ms));
	for (GList *l = r->link.prev; l; l = l->prev) {
		struct run *earlier = l->data;

		if (earlier->run.started_ms < r->run.started_ms)
			earlier->witnesses++;
	}
	g_hash_table_remove(s->runs, &ticket);
}

void silence_dropped(struct silence *s, uint64_t ticket)
{
	g_hash_table_remove(s->runs, &ticket);
}

void silence_tick(struct silence *s, uint64_t now_ms)
{
	if (s->last_tick_ms && now_ms > s->last_tick_ms + TICK_GAP_MAX_MS)
		s->lost_ms += now_ms - s->last_tick_ms;
	s->last_tick_ms = now_ms;
}

/* The age below which a run of the kind may still be answered as usual. */
static double usual_limit_ms(const struct kind *k)
{
	double ms = MAX(SLOW_FACTOR_MIN * k->mean_ms,
			k->mean_ms + DEVIATIONS_MIN * k->deviation_ms);

	ms = MAX(ms, LONGEST_FACTOR * k->longest_ms);
	return MAX(ms, LIMIT_MIN_MS);
}

/* The age that a run reaches only at a backend server slower than any seen. */
static double slow_limit_ms(const struct kind *k)
{
	return MAX(SLOW_FACTOR_MAX * k->mean_ms + 4 * k->deviation_ms,
		   usual_limit_ms(k));
}

/* Time that a repeat at another host needs. */
static double repeat_ms(const struct kind *k)
{
	return k->mean_ms + 2 * k->deviation_ms + LINK_MARGIN_MS;
}

static int is_silent(const struct silence *s, const struct run *r,
		     uint64_t now_ms)
{
	const struct kind *k = r->kind;
	double age_ms = run_age_ms(s, r, now_ms);
	double left_ms = (double)r->run.deadline_ms - (double)now_ms;

	if (!r->run.idempotent || k->samples < SAMPLES_MIN ||
	    left_ms < repeat_ms(k) || age_ms < usual_limit_ms(k))
		return 0;
	if (r->witnesses < WITNESSES_MIN)
		return s->last_answer_ms <= r->run.started_ms &&
		       now_ms >= s->next_probe_ms && age_ms >= slow_limit_ms(k);
	return age_ms >= slow_limit_ms(k) || left_ms < 2 * repeat_ms(k);
}

int silence_next(struct silence *s, uint64_t now_ms, uint64_t *ticket)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;

		if (!is_silent(s, r, now_ms))
			continue;
		*ticket = r->run.ticket;
		if (r->witnesses < WITNESSES_MIN)
			s->next_probe_ms =
				now_ms + (uint64_t)slow_limit_ms(r->kind);
		g_hash_table_iter_remove(&iter);
		return 1;
	}
	return 0;
}

uint32_t silence_hold_ms(const struct silence *s, uint32_t kind,
			 uint32_t age_ms)
{
	const struct kind *k =
		g_hash_table_lookup(s->kinds, GUINT_TO_POINTER(kind));
	double usual_ms;

	if (!k || k->samples < SAMPLES_MIN)
		return HOLD_UNKNOWN_MS;
	usual_ms = k->mean_ms + 4 * k->deviation_ms;
	if (age_ms < usual_ms)
		usual_ms -= age_ms;
	return (uint32_t)CLAMP(usual_ms, HOLD_MIN_MS, HOLD_MAX_MS);
}
