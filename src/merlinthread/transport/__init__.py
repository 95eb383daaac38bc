"""Sockets: pynng between our own processes, cherrypy and urllib3 towards everybody else."""
