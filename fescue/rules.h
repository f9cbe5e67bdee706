/*
 * Parser and validator of the operators' rules file.
 *
 * Each line holds one rule and ends with a comment that names who requested
 * the rule:
 *
 *   service NAME [deadline=MS] [queue=N] [reserve=PERCENT]
 *         [health=PATH] [connections=N] [hedge=PERCENT]      # who
 *   route METHOD HOST/PREFIX TARGET [class=urgent|background] [rank=N]
 *         [idempotent=yes|no] [deadline=MS] [latency=MS] [retries=N] # who
 *         [public=yes|no] [hedge=PERCENT]
 *   account NAME [keys=DIGEST,DIGEST] [rank=N] [rate=N] [burst=N] # who
 *   limits [header=BYTES] [body=BYTES] [header-time=MS] [idle-time=MS] # who
 *
 * METHOD and HOST may be "*", which matches any. TARGET is a service, or
 * several services with weights, between which the route's calls are split:
 * NAME:WEIGHT,NAME:WEIGHT. hedge is the share of the calls that may be sent to a
 * second host while the first one is slow, see fescue/hedge.h. DIGEST identifies a key of the client account, see
 * rules_key_digest(); the file never holds the key itself. Any input yields either a rule set or diagnostics,
 * never both.
 */
#ifndef FESCUE_RULES_H
#define FESCUE_RULES_H

#include <stddef.h>
#include <stdint.h>

#define RULES_MAX_BYTES 998000
#define RULES_MAX_LINE_BYTES 1024
#define RULES_MAX_DIAGNOSTICS 100
#define RULES_NAME_MAX_BYTES 63
#define RULES_DEADLINE_MAX_MS 600000
#define RULES_DEADLINE_DEFAULT_MS 2000
#define RULES_QUEUE_MAX 10000
#define RULES_QUEUE_DEFAULT 32
#define RULES_RESERVE_DEFAULT_PERCENT 30
#define RULES_RETRIES_MAX 5
#define RULES_RETRIES_DEFAULT 1
#define RULES_HEDGE_MAX_PERCENT 50

#define RULES_RANK_MAX 99
#define RULES_RANK_LEVELS 4 /* larger ranks count as the last level */
/* Of a call's rank: the rank of its account comes before that of its route. */
#define RULES_ACCOUNT_RANK_STEP (RULES_RANK_MAX + 1)
#define RULES_RANK_URGENT_DEFAULT 1 /* for routes without a rank option */
#define RULES_RANK_BACKGROUND_DEFAULT 5
#define RULES_TARGETS_MAX 8
#define RULES_WEIGHT_MAX 1000000
#define RULES_CONNECTIONS_MAX 1000000
#define RULES_PATH_MAX_BYTES 127
#define RULES_KEY_DIGEST_BYTES 32 /* without the terminating null byte */
#define RULES_ACCOUNT_KEYS_MAX 24
#define RULES_RATE_MAX 100000000
#define RULES_HEADER_DEFAULT_BYTES 16384
#define RULES_BODY_DEFAULT_BYTES 67108864
#define RULES_HEADER_TIMEOUT_DEFAULT_MS 10000
#define RULES_IDLE_TIMEOUT_DEFAULT_MS 60000

/*
 * Service times vary. Most calls finish in time if the time left is the mean
 * service time of their kind multiplied by this factor.
 */
#define SERVICE_TIME_MARGIN_FACTOR 1.5

enum call_class { CALL_CLASS_URGENT, CALL_CLASS_BACKGROUND, CALL_CLASS_COUNT };

/* How calls of one route are queued, limited in time and retried. */
struct call_policy {
	enum call_class call_class;
	int idempotent;
	uint32_t deadline_ms;
	uint32_t retries; /* attempts after the first one */
	uint32_t rank; /* scheduling priority; 0 is served first */
	uint32_t latency_ms; /* target; later answers are worth less; 0: none */
};

/* Limits that apply to each backend server of a service. */
struct service_rule {
	char name[RULES_NAME_MAX_BYTES + 1];
	uint32_t queue; /* queue length limit of each class, in calls */
	uint32_t reserve_percent; /* slots closed to background calls */
	uint32_t deadline_ms; /* for routes without a deadline option */
	uint32_t connections; /* limit per backend server; 0: none */
	char health[RULES_PATH_MAX_BYTES + 1]; /* path; empty: none */
	uint32_t hedge_percent; /* for routes without a hedge option */
	int has_hedge;
	uint32_t line; /* 1-based */
};

/* A service that receives a share of a route's calls by its weight. */
struct route_target {
	char service[RULES_NAME_MAX_BYTES + 1];
	uint32_t weight;
	/* Calls that may be hedged: option of the route, else of the service. */
	uint32_t hedge_percent;
	int has_hedge; /* 0: neither has the option */
};

/* Limits on what callers send and how long they take to send it. */
struct limits_rule {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_timeout_ms; /* first byte to last header of a request */
	uint32_t idle_timeout_ms; /* between two requests on a connection */
	uint32_t line; /* 0: the file has no limits line; defaults apply */
};

/* A client account: who may call routes that are not public, and how much. */
struct account_rule {
	char name[RULES_NAME_MAX_BYTES + 1];
	char keys[RULES_ACCOUNT_KEYS_MAX][RULES_KEY_DIGEST_BYTES + 1];
	uint32_t key_count;
	uint32_t rank; /* scheduling priority, before that of the route */
	uint32_t rate; /* calls per second over all hosts; 0: no limit */
	uint32_t burst; /* calls beyond the rate at once */
	uint32_t id; /* hash of the name, the same on all nodes; not 0 */
	uint32_t line;
};

struct route_rule {
	char *method; /* "*" matches any */
	char *host; /* "*" matches any */
	char *prefix; /* starts with '/' */
	struct route_target targets[RULES_TARGETS_MAX];
	uint32_t target_count; /* at least 1 */
	struct call_policy call_policy;
	uint32_t kind; /* identifies the route by method, host and prefix */
	int is_public; /* open to callers without a key */
	uint32_t line;
	uint32_t target_column;
	int has_deadline;
	int has_rank;
	uint32_t hedge_percent;
	int has_hedge;
};

/* An error in the rules file: its position, the problem and the remedy. */
struct diagnostic {
	uint32_t line; /* 1-based; 0 for the whole file */
	uint32_t column; /* 1-based, in bytes */
	char what[192];
	char remedy[192];
};

struct rules;

/*
 * Parse size bytes of text. On success returns 0 and stores a rule set in *out;
 * free it with rules_destroy(). Otherwise returns FESCUE_ETOOBIG if size
 * exceeds RULES_MAX_BYTES, or FESCUE_EINVAL, and sets *out to NULL. Stores at
 * most max diagnostics and their number in *count. diagnostics may be NULL if
 * max is 0.
 */
int rules_parse(const char *text, size_t size, struct rules **out,
		struct diagnostic *diagnostics, size_t max, size_t *count);

/* Free a rule set; NULL is allowed. */
void rules_destroy(struct rules *rules);

size_t rules_service_count(const struct rules *rules);
const struct service_rule *rules_service(const struct rules *rules, size_t i);
size_t rules_route_count(const struct rules *rules);

/* Routes are sorted: the first one that matches a call is most specific. */
const struct route_rule *rules_route(const struct rules *rules, size_t i);

/* Client accounts, in the order of the file. */
size_t rules_account_count(const struct rules *rules);
const struct account_rule *rules_account(const struct rules *rules, size_t i);

/* Returns the account that holds the key with this digest, or NULL. */
const struct account_rule *rules_find_account(const struct rules *rules,
					      const char *digest);

/*
 * Computes the digest that stands for a key in the rules file: the first
 * RULES_KEY_DIGEST_BYTES hexadecimal digits of its SHA-256.
 */
void rules_key_digest(const char *key, size_t size,
		      char digest[RULES_KEY_DIGEST_BYTES + 1]);

/* The limits line, or the defaults if there is none. */
const struct limits_rule *rules_limits(const struct rules *rules);

/*
 * Returns nonzero if the rule matches the method and path. The host is not
 * compared. The strings need not end in NUL.
 */
int route_rule_matches(const struct route_rule *rule, const char *method,
		       size_t method_len, const char *path, size_t path_len);

/* Sum of the weights of the route's targets. */
uint32_t route_rule_total_weight(const struct route_rule *rule);

/*
 * Index of the target that receives a call. offset is a number below
 * route_rule_total_weight(); if offsets are uniformly distributed, each target
 * receives a share of the calls proportional to its weight.
 */
uint32_t route_rule_target_at(const struct route_rule *rule, uint32_t offset);

/*
 * Hash a request id to an offset for route_rule_target_at(). All nodes compute
 * the same offset as long as the sum of the weights is the same, so that
 * operators can determine later which target a request was assigned to.
 */
uint32_t route_rule_request_offset(const struct route_rule *rule,
				   const char *id, size_t size);

/* Rank of a call on a route of this rank; account is NULL if it has none. */
uint32_t rules_call_rank(const struct account_rule *account,
			 uint32_t route_rank);

/*
 * Level of a call's rank, below RULES_RANK_LEVELS, for statistics by rank.
 * Account and route ranks are added, so that few levels cover both.
 */
uint32_t rules_rank_level(uint32_t call_rank);

const char *call_class_name(enum call_class call_class);

#endif
