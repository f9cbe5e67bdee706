#include "store_era.h"

#include "log.h"

#include <glib.h>
#include <inttypes.h>

struct subscription {
	void (*changed)(void *data);
	void *data;
};

struct store_era {
	uint64_t now; /* 0: not known */
	int is_unpublished; /* subscribers have not heard of it yet */
	int is_rejection_logged;
	GArray *subscriptions; /* struct subscription */
};

struct store_era *store_era_create(void)
{
	struct store_era *era = g_new0(struct store_era, 1);

	era->subscriptions =
		g_array_new(FALSE, FALSE, sizeof(struct subscription));
	return era;
}

void store_era_destroy(struct store_era *era)
{
	if (!era)
		return;
	g_array_free(era->subscriptions, TRUE);
	g_free(era);
}

uint64_t store_era_now(const struct store_era *era)
{
	return era->now;
}

void store_era_subscribe(struct store_era *era, void (*changed)(void *data),
			 void *data)
{
	struct subscription subscription = { changed, data };

	g_array_append_val(era->subscriptions, subscription);
}

void store_era_unsubscribe(struct store_era *era, const void *data)
{
	for (guint i = era->subscriptions->len; i-- > 0;)
		if (g_array_index(era->subscriptions, struct subscription, i)
			    .data == data)
			g_array_remove_index(era->subscriptions, i);
}

static void set_now(struct store_era *era, uint64_t told)
{
	era->is_unpublished |= era->now != 0;
	era->now = told;
}

enum store_answer_age store_era_judge(struct store_era *era, uint64_t told,
				      uint64_t when_sent)
{
	char text[32];

	if (!told)
		return STORE_ANSWER_CURRENT;
	if (told < era->now && when_sent < era->now)
		return STORE_ANSWER_OUTDATED;
	if (told < era->now) {
		g_snprintf(text, sizeof(text), "%" PRIu64, told);
		store_era_reject(era, text);
		return STORE_ANSWER_CURRENT;
	}
	if (told > era->now)
		set_now(era, told);
	return when_sent && when_sent < told ? STORE_ANSWER_NEWER :
					       STORE_ANSWER_CURRENT;
}

void store_era_publish(struct store_era *era)
{
	if (!era->is_unpublished)
		return;
	era->is_unpublished = 0;
	log_event(LOG_STATE, "store_era", "\"era\":%" PRIu64, era->now);
	for (guint i = 0; i < era->subscriptions->len; i++) {
		const struct subscription *s = &g_array_index(
			era->subscriptions, struct subscription, i);

		s->changed(s->data);
	}
}

void store_era_learn(struct store_era *era, uint64_t told)
{
	if (told <= era->now)
		return;
	set_now(era, told);
	store_era_publish(era);
}

void store_era_reject(struct store_era *era, const char *text)
{
	char quoted[LOG_QUOTED_BYTES];

	if (era->is_rejection_logged)
		return;
	era->is_rejection_logged = 1;
	log_error("the store tells the era %s after %" PRIu64
		  "; eras are whole numbers that rise: it is ignored",
		  log_quote(text, quoted), era->now);
}
