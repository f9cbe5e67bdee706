#include "fescue/admission.h"

const char *admission_reason_text(enum admission_reason reason)
{
	switch (reason) {
	case ADMISSION_OK:
		return "admitted";
	case ADMISSION_QUEUE_FULL:
		return "the queue is full";
	case ADMISSION_DEADLINE:
		return "the deadline cannot be met";
	case ADMISSION_DRAINING:
		return "the host is leaving";
	case ADMISSION_NO_BACKEND:
		return "the host has no backend server";
	case ADMISSION_LINK:
		return "the link of the host is busy";
	}
	return "unknown";
}
