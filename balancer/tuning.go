package balancer

const (
	// panicThreshold is the share of healthy hosts below which health is ignored. The design allows a quarter
	// to a half; with about ten hosts, losing a zone should not yet send traffic to its dead hosts.
	panicThreshold = 0.3
	// A host yields with loadedMultiple x mean + 1, and at least loadedFloor, requests in flight from here.
	loadedMultiple, loadedFloor = 1.5, 2.0
	// farShare: where warm keys cost less work, a host other than a key's first choice in its zone or outside
	// takes it only up to this share of its limit. Else overload scatters keys and makes more work.
	farShare = 0.6
	// localityPrice is the cross-zone price from which hosts of other zones are picked only if all of this
	// zone yield; below it their rendezvous weight shrinks in proportion.
	localityPrice         = 0.06
	farWeight, yieldScore = 1e-6, 1e12 // weight of other zones at that price; score of hosts that yield

	lowTrafficBelow = 0.2 // in flight to a mean host: limits rarely apply, so answers and peers show load
	// highLoad is the load, by how close answers are to being late, above which a zone is short of capacity.
	highLoad, loadStep = 0.7, 0.2 // loadStep: weight of one answer in the mean load

	// The logarithm of admitShare falls by admitGain a second for each unit of overload. The wanted load is
	// admitMargin above the mean, within highLoad and maxLoad. Peers are told of changes of peerStep in the
	// logarithm; each request pays for peerCreditShare of a full message.
	admitGain                      = 0.7
	admitRecoveryAims              = 128.0 // in longest aims, until a share has recovered
	minAdmit, admitMargin, maxLoad = 0.05, 0.15, 0.95
	// Without peers a proxy may hear from a host only every few seconds, so each answer moves latencyShare by
	// byLatencyStep, relative to the class's mean time: long before hosts are late. With more than
	// maxProxiesPerHost proxies to a host, or byLatencyInflight in flight to a mean one, admitShare does
	// better.
	maxProxiesPerHost, byLatencyInflight = 4, 0.03
	byLatencyStep                        = 4.2
	peerStep                             = 0.2
	peerCreditShare                      = 0.3
	maxPeerCredit, fullMessageBytes      = 100.0, 256.0 // credit limit in messages; bytes of one

	fullShare  = 223             // code of an admitted share of 1; higher codes stand for classes
	classCodes = 255 - fullShare // classes whose losses peers are told

	// A host is ejected for a class with minLosses recent losses that are more than lossMajority/2 of all its
	// losses. Losses, capped at maxLosses, decay over lossMemoryAims longest aims; from minLosses on,
	// lossSlowdown times as slowly.
	lossMemoryAims, minLosses, lossMajority, maxLosses, lossSlowdown = 32.0, 8.0, 1.5, 16.0, 4.0

	ejectThreshold = 0.4 // failure share

	lateDiscount = 2.0 // with 1/lateDiscount of all attempts late, lateness says nothing about one host

	// Failed connections in a row that take a zone out; by zone, as low traffic rarely meets a host twice.
	zoneOutAfter, zoneOutAims = 4, 1.0 // zoneOutAims: for how many longest aims
	ejectAims                 = 4.0    // ejection time, in longest aims; the failure share outlasts it

	// With low traffic a failure share is learned too slowly: one failure of at least minFailureWeight makes
	// a host suspect for an ejection's time, each further one in a row doubles that up to maxSuspectFactor.
	// With more than maxSuspectShare of the observed hosts suspect, suspicion is ignored, as in panic.
	maxSuspectFactor, minFailureWeight, maxSuspectShare = 16.0, 0.5, 0.25

	lateMarkShare = 0.45 // of the aim: an attempt pending for longer counts as late

	// initialLimit is the first concurrency limit of a host of mean size. Answers within limitGrowBelow of
	// their aim raise a limit in use by about one per limitGrowBelow aims; a late attempt multiplies it by
	// limitCut, once for all pending together. Short queues keep hosts below the load that slows them.
	initialLimit, limitGrowBelow, limitCut = 2.0, 0.22, 0.5

	shedFactor       = 5.0 // times the shed share of more valuable work: probability of shedding early
	repeatShedFactor = 6.0 // times the share of late attempts: the same for a repeat
	maxQueueShare    = 0.2 // of the aim: longest wait in the queue

	maxTries = 2 // attempts of a request, unless the last one reached no host

	// coldSafety is the part used of a cold host's budget: the rest covers chance and the warm keys it lacks.
	// It grows with warmth to maxColdSafety, or only until a host gets as much as a warm one. With a fifth
	// until the end, nearly warm hosts would idle while a few others carry a mostly new fleet.
	coldSafety, maxColdSafety = 0.2, 1.0 / 3

	memoryAims       = 8.0   // decay time of rates, in longest aims
	minAim           = 0.01  // seconds; guards against settings without an aim
	tickAims         = 0.25  // interval of the balancer's own timer, in longest aims
	initialWorkShare = 0.125 // of a class's aim: the estimate of its work before any answer
	meanWeight       = 0.05  // weight of one sample in a running mean

	watchCalls                      = 2.5      // unanswered list calls that fit into AskWithin
	watchRetryMin, watchRetrySpread = 0.1, 0.4 // of that interval: wait after a failed call
)

// The kinds of failure share: no good answer, and an answer that broke off or cannot be read.
const failedRequest, brokenAnswer = 0, 1

// failureStep is the weight of one outcome in each share: two failures in a row eject, or five broken
// answers. Connections to any host break now and then, so two together do not show a failing host.
var failureStep = [2]float64{0.25, 0.1}

// A timer token holds its purpose, an attempt number and a request ID, which is below 2^52.
const (
	timerLate uint64 = iota
	timerTick
	timerWatch
	timerQueue
	kindShift        = 60
	attemptShift     = 52
	maxTokenAttempts = 1 << (kindShift - attemptShift)
)
