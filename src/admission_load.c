/* What an admission reports of its load. */
#include "admission_state.h"

uint32_t admission_service_us(const struct admission *a, uint32_t kind)
{
	return (uint32_t)mean_service_us(a, kind);
}

/* Adds the mean service times of the queued calls to the total of each rank. */
static void add_queued_work(const struct admission *a, uint64_t now_ms,
			    double any_us[RULES_RANK_LEVELS],
			    double timely_us[RULES_RANK_LEVELS])
{
	for (int i = 0; i < CALL_CLASS_COUNT; i++)
		for (GList *l = a->queues[i].head; l; l = l->next) {
			const struct admission_call *call = l->data;
			double us = mean_service_us(a, call->kind);

			any_us[rank_index(call)] += us;
			if (!admission_is_late(a, call, now_ms))
				timely_us[rank_index(call)] += us;
		}
}

static uint32_t wait_ms(const struct admission *a, double ahead_us,
			uint32_t level, double slots)
{
	return (uint32_t)(ahead_us / 1000 /
			  (slots *
			   admission_available_share(a, level, 0, slots)));
}

void admission_rank_waits(const struct admission *a, uint64_t now_ms,
			  struct rank_waits *waits)
{
	double any_us[RULES_RANK_LEVELS] = { 0 };
	double timely_us[RULES_RANK_LEVELS] = { 0 };
	double slots = MAX(a->slots, 1), base_us = 0, late_us = 0, ahead_us;
	int lateness_first = admission_lateness_first(a);

	add_queued_work(a, now_ms, any_us, timely_us);
	if (a->in_use >= a->slots)
		base_us = a->service_us;
	ahead_us = base_us;
	if (lateness_first)
		for (uint32_t i = 0; i < RULES_RANK_LEVELS; i++)
			late_us += timely_us[i];
	for (uint32_t i = 0; i < RULES_RANK_LEVELS; i++) {
		waits->timely_ms[i] = wait_ms(a, ahead_us + timely_us[i],
					      admission_level(a, i, 0), slots);
		ahead_us += lateness_first ? timely_us[i] : any_us[i];
		late_us += any_us[i] - timely_us[i];
		waits->any_ms[i] = wait_ms(
			a, lateness_first ? base_us + late_us : ahead_us,
			admission_level(a, i, 1), slots);
	}
}

uint32_t admission_wait_ms(const struct admission *a)
{
	double us = a->service_us;

	for (int i = 0; i < CALL_CLASS_COUNT; i++)
		for (GList *l = a->queues[i].head; l; l = l->next)
			us += mean_service_us(
				a, ((struct admission_call *)l->data)->kind);
	return (uint32_t)(us / 1000 / MAX(a->slots, 1));
}

uint32_t admission_in_use(const struct admission *a)
{
	return a->in_use;
}

uint32_t admission_queued(const struct admission *a)
{
	return queue_length(a, CALL_CLASS_URGENT) +
	       queue_length(a, CALL_CLASS_BACKGROUND);
}

uint32_t admission_slots(const struct admission *a)
{
	return a->slots;
}
