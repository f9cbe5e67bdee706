/*
 * A small deployment on loopback addresses for the cases of this review: the
 * project's nodes as processes, the project's store stand-in behind a proxy,
 * and stand-ins of instances, clients, operator and platform as threads.
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_HOSTS_MAX 8
#define LAB_TEXT 64
#define LAB_MESSAGE_BYTES 65536

/* One HTTP message: head and body, NUL-terminated. */
struct lab_message {
	char bytes[LAB_MESSAGE_BYTES];
	char *body; /* within bytes */
	size_t body_size;
};

/* Reads one message; returns 0, or -1 at the end, on errors and timeouts. */
int lab_read_message(int fd, struct lab_message *m, int timeout_ms);
/* Copies the value of a header; returns 0 and an empty text if absent. */
int lab_header(const struct lab_message *m, const char *name, char *out,
	       size_t size);
int lab_listen(const char *ip, int port);
int lab_connect(const char *ip, int port, int timeout_ms);
int lab_write(int fd, const char *bytes, size_t size);
/* Closes a connection with a reset. */
void lab_reset(int fd);

uint64_t lab_now_ms(void); /* steady clock, from the start of the lab */
uint64_t lab_wall_ms(void);
void lab_sleep_ms(uint64_t ms);

/* Appends a line with the time to record.txt. */
void lab_record_open(const char *path);
__attribute__((format(printf, 1, 2))) void lab_record(const char *format, ...);

/* What an instance did with one request. */
enum lab_fate { LAB_RAN, LAB_REFUSED, LAB_CRASHED };

struct lab_instance;

/* Called for each arrival, from any thread. */
struct lab_observer {
	void (*arrived)(void *data, int number, const char *id,
			const char *path, enum lab_fate fate);
	void *data;
};

struct lab_host {
	int number; /* from 1 */
	char ip[LAB_TEXT];
	char zone[LAB_TEXT];
	char service[LAB_TEXT];
	int slots;
	char settings_path[256];
	char log_path[256];
	pid_t pid; /* of its node; 0: none */
	uint64_t started_ms; /* of its node */
	struct lab_instance *instance;
};

/* Between the nodes and the store. */
struct lab_proxy {
	char ip[LAB_TEXT];
	int port, target_port, listener;
	atomic_int silent; /* swallows everything that comes meanwhile */
	pthread_t thread;
};

struct lab {
	char folder[200]; /* for settings and logs */
	char net[LAB_TEXT]; /* 127.A.B */
	struct lab_host hosts[LAB_HOSTS_MAX];
	int host_count;
	pid_t store_pid;
	struct lab_proxy store_proxy;
	struct lab_observer observer;
	int config_version;
};

enum lab_port {
	LAB_OUTBOUND = 8141,
	LAB_READINESS = 8140,
	LAB_CONTROL = 8146,
	LAB_INSTANCE = 8147,
	LAB_STORE = 8142,
	LAB_STORE_BEHIND_PROXY = 8143,
	LAB_PORT_FIRST = 7660,
	LAB_PORT_LAST = 7675,
};

/* Fills in the hosts from services, one a host. Returns 0 or -1. */
int lab_create(struct lab *lab, const char *folder, const char *const *services,
	       const int *slots, int count);
int lab_start(struct lab *lab); /* store, nodes, instances */
void lab_stop(struct lab *lab); /* ends all processes */
/* Writes op/config; resources is the JSON list. Returns 0 once acknowledged. */
int lab_put_config(struct lab *lab, const char *resources);
/* Waits until all nodes say that they are ready. */
int lab_wait_ready(struct lab *lab, int timeout_ms);
int lab_node_is_ready(const struct lab_host *host);
int lab_start_node(struct lab_host *host);
/* Sends a signal; with wait, returns when the process has ended. */
void lab_signal_node(struct lab_host *host, int number, int wait);

/* The answer to a client's request. */
struct lab_answer {
	int status; /* 0: the connection ended without an answer, or timeout */
	int is_signed;
	char by[LAB_TEXT]; /* id of the instance, from its answer's body */
	char retry_after[LAB_TEXT];
	uint64_t took_ms;
};

/* Sends one request of a client to the node of a host, on a connection of its
 * own, and records it. */
void lab_request(struct lab_host *host, const char *method,
		 const char *authority, const char *path, const char *id,
		 int deadline_ms, const char *body, struct lab_answer *answer);

/* Instances. */
struct lab_instance *lab_instance_start(struct lab *lab, struct lab_host *host);
void lab_instance_stop(struct lab_instance *instance);
/* Share of the requests, in per cent, that it refuses as not executed. */
void lab_instance_set_shed(struct lab_instance *instance, int percent);
void lab_instance_set_work(struct lab_instance *instance, int ms);
int lab_instance_is_up(struct lab_instance *instance);
/* Sends DELETE and no more heartbeats; goes on serving. 0: acknowledged. */
int lab_instance_leave(struct lab_instance *instance);
/* Delivers, late, a heartbeat that was sent before the instance left. */
void lab_instance_late_heartbeat(struct lab_instance *instance);

/* The proxy in front of the store. */
int lab_proxy_start(struct lab_proxy *proxy, const char *ip, int port,
		    int target_port);

#endif
