#include "fescue/error.h"

const char *fescue_strerror(int error)
{
	switch (error) {
	case FESCUE_OK:
		return "no error";
	case FESCUE_EINVAL:
		return "malformed input; correct the named field and try again";
	case FESCUE_EIO:
		return "socket or file failure; check the address, the path "
		       "and the permissions";
	case FESCUE_ETIMEOUT:
		return "timed out without an answer; check that the peer is "
		       "running, then try again";
	case FESCUE_EUNAVAILABLE:
		return "refused by the peer; wait for it to recover, "
		       "then try again";
	case FESCUE_ECONFLICT:
		return "conflicts with an earlier write; read the new version, "
		       "merge, then try again";
	case FESCUE_ENOTFOUND:
		return "not found; check the name";
	case FESCUE_ETOOBIG:
		return "too large; split or shorten the input";
	case FESCUE_EMISMATCH:
		return "content does not match its checksum; fetch the full "
		       "content";
	case FESCUE_EPARTIAL:
		return "answer ended early; try again if the call is "
		       "idempotent";
	case FESCUE_ECANCELED:
		return "canceled; nothing to do";
	case FESCUE_EGONE:
		return "the requested revision was compacted; read the "
		       "current state, then watch again";
	default:
		return "unknown error; report it with the log";
	}
}
