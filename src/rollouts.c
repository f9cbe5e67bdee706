/* The roll-outs of a node, by service. */
#include "src/rollout_state.h"

struct rollouts {
	uint32_t seed;
	GHashTable *services; /* name -> struct rollout */
};

static void rollout_free(gpointer data)
{
	struct rollout *rollout = data;

	/* The owner may finish its attempts later; nothing is recorded then. */
	for (struct rollout_attempt *attempt = rollout->attempts; attempt;
	     attempt = attempt->next)
		attempt->rollout = NULL;
	g_hash_table_destroy(rollout->servers);
	g_free(rollout->events);
	g_free(rollout);
}

struct rollouts *rollouts_create(uint32_t seed)
{
	struct rollouts *rollouts = g_new0(struct rollouts, 1);

	rollouts->seed = seed;
	rollouts->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, rollout_free);
	return rollouts;
}

void rollouts_destroy(struct rollouts *rollouts)
{
	if (!rollouts)
		return;
	g_hash_table_destroy(rollouts->services);
	g_free(rollouts);
}

struct rollout *rollouts_get(struct rollouts *rollouts, const char *service)
{
	struct rollout *rollout =
		g_hash_table_lookup(rollouts->services, service);

	if (rollout)
		return rollout;
	rollout = g_new0(struct rollout, 1);
	g_strlcpy(rollout->service, service, sizeof(rollout->service));
	rollout->seed = rollouts->seed;
	rollout->servers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	g_hash_table_insert(rollouts->services, rollout->service, rollout);
	return rollout;
}

const struct rollout *rollouts_find(const struct rollouts *rollouts,
				    const char *service)
{
	return g_hash_table_lookup(rollouts->services, service);
}

void rollouts_foreach(struct rollouts *rollouts,
		      void (*function)(struct rollout *rollout, void *data),
		      void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct rollout *)value)->has_state)
			function(value, data);
}
