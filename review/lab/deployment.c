/* Processes, settings, operator and clients of the deployment. */
#include "lab.h"

#include <signal.h>
#include <stdio.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define TEMPLATE "deploy/node.json.in"
#define SETTINGS_BYTES 4096

struct field {
	const char *name;
	char value[LAB_TEXT];
};

/* Value of a placeholder of the template, or NULL. */
static const char *field_value(const struct field *fields, size_t count,
			       const char *name, size_t len)
{
	for (size_t i = 0; i < count; i++)
		if (strlen(fields[i].name) == len &&
		    !memcmp(fields[i].name, name, len))
			return fields[i].value;
	return NULL;
}

/* Fills in the placeholders as the platform does. Returns 0 or -1. */
static int render(const char *text, const struct field *fields, size_t count,
		  FILE *out)
{
	const char *open, *close, *value;

	while ((open = strstr(text, "{{"))) {
		close = strstr(open, "}}");
		if (!close)
			return -1;
		fwrite(text, 1, (size_t)(open - text), out);
		value = field_value(fields, count, open + 2,
				    (size_t)(close - open - 2));
		if (!value)
			return -1;
		fputs(value, out);
		text = close + 2;
	}
	fputs(text, out);
	return 0;
}

static int write_settings(struct lab *lab, struct lab_host *host)
{
	struct field fields[] = {
		{ "ip", "" },
		{ "portRange.0", "" },
		{ "portRange.1", "" },
		{ "listen.outbound", "" },
		{ "listen.control", "" },
		{ "listen.readiness", "" },
		{ "limits.linkMbps", "1000.0" },
		{ "zone", "" },
		{ "service", "" },
		{ "platform.address", "" },
		{ "bounds.budgetSlack", "62" },
		{ "bounds.graceS", "6" },
	};
	const size_t size = LAB_TEXT;
	char text[SETTINGS_BYTES];
	FILE *in = fopen(TEMPLATE, "r"), *out;
	size_t n;
	int error;

	if (!in)
		return -1;
	n = fread(text, 1, sizeof(text) - 1, in);
	fclose(in);
	text[n] = '\0';
	snprintf(fields[0].value, size, "%s", host->ip);
	snprintf(fields[1].value, size, "%d", LAB_PORT_FIRST);
	snprintf(fields[2].value, size, "%d", LAB_PORT_LAST);
	snprintf(fields[3].value, size, "%.40s:%d", host->ip, LAB_OUTBOUND);
	snprintf(fields[4].value, size, "%.40s:%d", host->ip, LAB_CONTROL);
	snprintf(fields[5].value, size, "%.40s:%d", host->ip, LAB_READINESS);
	snprintf(fields[7].value, size, "%s", host->zone);
	snprintf(fields[8].value, size, "%s", host->service);
	snprintf(fields[9].value, size, "%.40s:%d", lab->store_proxy.ip,
		 LAB_STORE);
	out = fopen(host->settings_path, "w");
	if (!out)
		return -1;
	error = render(text, fields, sizeof(fields) / sizeof(*fields), out);
	fclose(out);
	return error;
}

/* Starts a program of the repository with its output in a file. */
static pid_t start_program(const char *program, const char *argument,
			   const char *settings, const char *log)
{
	char variable[300];
	char *argv[] = { (char *)program, (char *)argument, NULL };
	char *env[] = { "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", variable,
			NULL };
	pid_t pid;
	int fd;

	snprintf(variable, sizeof(variable), "FESCUEHITCH_NODE_FILE=%s",
		 settings);
	pid = fork();
	if (pid)
		return pid;
	/* No process outlives the case, even if that is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execve(program, argv, env);
	_exit(127);
}

int lab_start_node(struct lab_host *host)
{
	host->pid = start_program("target/fescue-node", NULL,
				  host->settings_path, host->log_path);
	host->started_ms = lab_now_ms();
	lab_record("platform starts the node of host %d", host->number);
	return host->pid > 0 ? 0 : -1;
}

void lab_signal_node(struct lab_host *host, int number, int wait)
{
	if (host->pid <= 0)
		return;
	lab_record("platform sends signal %d to the node of host %d", number,
		   host->number);
	kill(host->pid, number);
	if (!wait)
		return;
	waitpid(host->pid, NULL, 0);
	lab_record("the node of host %d has ended", host->number);
	host->pid = 0;
}

int lab_create(struct lab *lab, const char *folder, const char *const *services,
	       const int *slots, int count)
{
	int pid = (int)getpid();

	snprintf(lab->folder, sizeof(lab->folder), "%s", folder);
	snprintf(lab->net, sizeof(lab->net), "127.%d.%d", 10 + pid % 200,
		 1 + pid / 200 % 250);
	lab->host_count = count;
	for (int i = 0; i < count; i++) {
		struct lab_host *host = &lab->hosts[i];

		host->number = i + 1;
		snprintf(host->ip, sizeof(host->ip), "%.40s.%d", lab->net,
			 i + 1);
		snprintf(host->zone, sizeof(host->zone), "zone-%c",
			 'a' + i % 3);
		snprintf(host->service, sizeof(host->service), "%s",
			 services[i]);
		host->slots = slots[i];
		snprintf(host->settings_path, sizeof(host->settings_path),
			 "%s/node-%d.json", lab->folder, i + 1);
		snprintf(host->log_path, sizeof(host->log_path),
			 "%s/node-%d.log", lab->folder, i + 1);
	}
	return 0;
}

int lab_start(struct lab *lab)
{
	char ip[LAB_TEXT], address[LAB_TEXT + 8], log[256];

	snprintf(ip, sizeof(ip), "%.40s.200", lab->net);
	snprintf(address, sizeof(address), "%s:%d", ip, LAB_STORE_BEHIND_PROXY);
	snprintf(log, sizeof(log), "%s/store.log", lab->folder);
	lab->store_pid =
		start_program("target/fescue-store-standin", address, "", log);
	if (lab->store_pid < 0 ||
	    lab_proxy_start(&lab->store_proxy, ip, LAB_STORE,
			    LAB_STORE_BEHIND_PROXY))
		return -1;
	lab_sleep_ms(300);
	for (int i = 0; i < lab->host_count; i++) {
		if (write_settings(lab, &lab->hosts[i]) ||
		    lab_start_node(&lab->hosts[i]))
			return -1;
	}
	lab_sleep_ms(300);
	for (int i = 0; i < lab->host_count; i++) {
		lab->hosts[i].instance =
			lab_instance_start(lab, &lab->hosts[i]);
		if (!lab->hosts[i].instance)
			return -1;
	}
	return 0;
}

void lab_stop(struct lab *lab)
{
	for (int i = 0; i < lab->host_count; i++) {
		if (lab->hosts[i].pid > 0) {
			kill(lab->hosts[i].pid, SIGKILL);
			waitpid(lab->hosts[i].pid, NULL, 0);
		}
		if (lab->hosts[i].instance)
			lab_instance_stop(lab->hosts[i].instance);
	}
	if (lab->store_pid > 0) {
		kill(lab->store_pid, SIGKILL);
		waitpid(lab->store_pid, NULL, 0);
	}
}

/* Encodes text as base64; the result is released with free(). */
static char *encode_base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text), used = 0;
	char *out = malloc(len / 3 * 4 + 5);

	for (size_t i = 0; out && i < len; i += 3) {
		unsigned int left = (unsigned int)(len - i);
		unsigned int bits = (unsigned char)text[i] << 16;

		if (left > 1)
			bits |= (unsigned int)(unsigned char)text[i + 1] << 8;
		if (left > 2)
			bits |= (unsigned char)text[i + 2];
		out[used++] = digits[bits >> 18 & 63];
		out[used++] = digits[bits >> 12 & 63];
		out[used++] = left > 1 ? digits[bits >> 6 & 63] : '=';
		out[used++] = left > 2 ? digits[bits & 63] : '=';
	}
	if (out)
		out[used] = '\0';
	return out;
}

int lab_put_config(struct lab *lab, const char *resources)
{
	char *document = malloc(LAB_MESSAGE_BYTES), *value = NULL;
	char *out = malloc(LAB_MESSAGE_BYTES);
	struct lab_message *answer = malloc(sizeof(*answer));
	int fd = -1, error = -1, n;

	if (document && out && answer) {
		snprintf(document, LAB_MESSAGE_BYTES,
			 "{\"version\":%d,\"resources\":[%s]}",
			 lab->config_version += 3, resources);
		value = encode_base64(document);
		n = snprintf(document, LAB_MESSAGE_BYTES,
			     "{\"expectedRevision\":[],\"puts\":[{\"key\":"
			     "\"op/config\",\"value\":\"%s\",\"lease\":0}],"
			     "\"deletes\":[]}",
			     value ? value : "");
		n = snprintf(out, LAB_MESSAGE_BYTES,
			     "POST /fescuehitch/kv-txn HTTP/1.1\r\nHost: store"
			     "\r\nContent-Type: application/json\r\n"
			     "Content-Length: %d\r\n\r\n%s",
			     n, document);
		fd = lab_connect(lab->store_proxy.ip, LAB_STORE_BEHIND_PROXY,
				 1000);
		if (fd >= 0 && !lab_write(fd, out, (size_t)n) &&
		    !lab_read_message(fd, answer, 2000))
			error = !strstr(answer->bytes, " 200 ");
		lab_record("operator writes version %d: %s",
			   lab->config_version,
			   error ? "failed" : "acknowledged");
	}
	if (fd >= 0)
		close(fd);
	free(document);
	free(value);
	free(out);
	free(answer);
	return error;
}

int lab_node_is_ready(const struct lab_host *host)
{
	static const char request[] =
		"GET /fescuehitch/readyz HTTP/1.1\r\nHost: node\r\n\r\n";
	struct lab_message *answer = malloc(sizeof(*answer));
	int fd = lab_connect(host->ip, LAB_READINESS, 500), ready = 0;

	if (fd >= 0 && answer && !lab_write(fd, request, sizeof(request) - 1) &&
	    !lab_read_message(fd, answer, 500))
		ready = strstr(answer->bytes, " 200 ") != NULL;
	if (fd >= 0)
		close(fd);
	free(answer);
	return ready;
}

int lab_wait_ready(struct lab *lab, int timeout_ms)
{
	uint64_t deadline = lab_now_ms() + (uint64_t)timeout_ms;

	for (int i = 0; i < lab->host_count;) {
		if (lab_node_is_ready(&lab->hosts[i]))
			i++;
		else if (lab_now_ms() >= deadline)
			return -1;
		else
			lab_sleep_ms(50);
	}
	return 0;
}

void lab_request(struct lab_host *host, const char *method,
		 const char *authority, const char *path, const char *id,
		 int deadline_ms, const char *body, struct lab_answer *answer)
{
	struct lab_message *m = malloc(sizeof(*m));
	char out[4096], text[LAB_TEXT];
	uint64_t start = lab_now_ms();
	int fd = lab_connect(host->ip, LAB_OUTBOUND, 1000);
	int n = snprintf(out, sizeof(out),
			 "%s %s HTTP/1.1\r\nHost: %s\r\n"
			 "Fescuehitch-Request-Id: %s\r\n"
			 "Fescuehitch-Deadline-Ms: %d\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 method, path, authority, id, deadline_ms, strlen(body),
			 body);

	memset(answer, 0, sizeof(*answer));
	lab_record("client at host %d sends %s %s (id %s)", host->number,
		   method, path, id);
	if (fd >= 0 && m && !lab_write(fd, out, (size_t)n) &&
	    !lab_read_message(fd, m, deadline_ms + 500)) {
		sscanf(m->bytes, "%*s %d", &answer->status);
		answer->is_signed = lab_header(m,
					       "fescuehitch-response-signature",
					       text, sizeof(text));
		lab_header(m, "retry-after", answer->retry_after,
			   sizeof(answer->retry_after));
		sscanf(m->body, "%63s", answer->by);
	}
	if (fd >= 0)
		close(fd);
	free(m);
	answer->took_ms = lab_now_ms() - start;
	lab_record("client gets %d after %llu ms, %ssigned (id %s)",
		   answer->status, (unsigned long long)answer->took_ms,
		   answer->is_signed ? "" : "not ", id);
}
